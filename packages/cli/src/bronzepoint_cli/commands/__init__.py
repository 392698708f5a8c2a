"""One module for each command or group of commands."""
