"""Stand-ins for the platform, the deployment harness and the experiment tool."""
