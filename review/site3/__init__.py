"""A small deployment for the cases of the second review."""
