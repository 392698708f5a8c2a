"""Benchmarks of a host's processor time per request and per relayed event."""
