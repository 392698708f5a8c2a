"""Stubs of the platform, the deployment harness and the experiment tool."""
