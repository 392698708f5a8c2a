"""Tests of bronzepoint; run by nose2 from the root of the repository."""
