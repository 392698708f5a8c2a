"""Run ``bronzepoint`` as a process of its own."""

import os
import subprocess
import sys
from dataclasses import dataclass

PATIENCE = 60
"""Seconds until a command that doesn't end counts as hung."""


@dataclass
class Finished:
    """What a command printed and how it ended."""

    status: int
    out: str
    err: str


def run_command(
    *arguments: str, hosts: str = "", token: str = "a-token", given: str = ""
) -> Finished:
    """Run one command line; `given` is its standard input."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("BRONZEPOINT_")}
    environment = kept | {"BRONZEPOINT_HOSTS": hosts, "BRONZEPOINT_TOKEN": token}
    done = subprocess.run(
        [sys.executable, "-m", "bronzepoint_cli", *arguments],
        env=environment | {"COLUMNS": "80", "PYTHONUTF8": "1"},
        input=given,
        capture_output=True,
        text=True,
        timeout=PATIENCE,
    )
    return Finished(done.returncode, done.stdout, done.stderr)
