"""Daemon of an entry host."""
