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


def command(*arguments: str) -> list[str]:
    """Return the command line."""
    return [sys.executable, "-m", "bronzepoint_cli", *arguments]


def environment(hosts: str, token: str) -> dict[str, str]:
    """Return an environment in which output looks the same everywhere."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("BRONZEPOINT_")}
    kept |= {"BRONZEPOINT_HOSTS": hosts, "BRONZEPOINT_TOKEN": token}
    return kept | {"COLUMNS": "80", "PYTHONUTF8": "1"}


def run_command(
    *arguments: str, hosts: str = "", token: str = "a-token", given: str = ""
) -> Finished:
    """Run one command line; `given` is its standard input."""
    done = subprocess.run(
        command(*arguments),
        env=environment(hosts, token),
        input=given,
        capture_output=True,
        text=True,
        timeout=PATIENCE,
    )
    return Finished(done.returncode, done.stdout, done.stderr)
