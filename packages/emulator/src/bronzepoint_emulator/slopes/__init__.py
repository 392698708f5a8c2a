"""Benchmarks of a host's cost as a function of the deployment's size."""
