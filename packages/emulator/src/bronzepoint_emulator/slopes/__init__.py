"""Cost of one host against the sizes that it depends on, measured on this code."""
