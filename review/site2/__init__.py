"""Stand-ins and process control for the cases of the second review."""
