"""Runs the ``bronzepoint`` command line as a separate process."""

import os
import subprocess
import sys
from dataclasses import dataclass

MAX_WAIT = 60
"""Seconds after which a running command counts as hung."""


@dataclass
class Finished:
    """Output and exit status of a command."""

    status: int
    out: str
    err: str


def command(*arguments: str) -> list[str]:
    """Return the command line to execute."""
    return [sys.executable, "-m", "bronzepoint_cli", *arguments]


def environment(hosts: str, token: str) -> dict[str, str]:
    """Return an environment that makes the output the same on every machine."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith("BRONZEPOINT_")}
    kept |= {"BRONZEPOINT_HOSTS": hosts, "BRONZEPOINT_TOKEN": token}
    return kept | {"COLUMNS": "80", "PYTHONUTF8": "1"}


def run_command(
    *arguments: str, hosts: str = "", token: str = "a-token", given: str = ""
) -> Finished:
    """Run a command; `given` is its standard input."""
    done = subprocess.run(
        command(*arguments),
        env=environment(hosts, token),
        input=given,
        capture_output=True,
        text=True,
        timeout=MAX_WAIT,
    )
    return Finished(done.returncode, done.stdout, done.stderr)
