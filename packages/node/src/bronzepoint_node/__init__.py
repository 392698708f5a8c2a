"""The daemon of an entry host."""
