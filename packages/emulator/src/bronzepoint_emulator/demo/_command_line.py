"""The ``bronzepoint`` command, run as a user would run it."""

import os
import re
import subprocess
import sys
from pathlib import Path

from msgspec import Struct
from rich.console import Console
from rich.markup import escape

from bronzepoint_emulator.demo._errors import StepFailed
from bronzepoint_emulator.deployment import spawn

PROGRAM = Path(sys.executable).with_name("bronzepoint")
TIMEOUT = 30.0
"""Seconds that a command may take."""
_REQUEST_ID = re.compile(r"(?:request|why) (\S+\.[0-9a-f]{32})")


class CommandResult(Struct):
    """Output and exit status of a command."""

    status: int
    output: str
    errors: str

    @property
    def request_id(self) -> str:
        """Identifier of the request that the command sent, from its stderr."""
        found = _REQUEST_ID.search(self.errors)
        if found is None:
            raise StepFailed(f"no request id in the command's output: {self.errors}")
        return found[1]


class CommandLine:
    """Runs commands and prints them with their output.

    Args:
        console: Console to print to.
        hosts: Addresses of the hosts to send to, in order of preference.
        token: Token of the caller or operator.
    """

    def __init__(self, console: Console, hosts: list[str], token: str) -> None:
        self._console = console
        self._hosts = hosts
        self._token = token

    def run(self, *arguments: str) -> CommandResult:
        """Run a command and wait until it has ended."""
        command = " ".join(_quote(argument) for argument in arguments)
        self._console.print(f"[bold cyan]$ bronzepoint {escape(command)}[/]")
        child = spawn(
            [str(PROGRAM), *arguments],
            env=os.environ | self._environment(),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        with child:
            try:
                output, errors = child.communicate(timeout=TIMEOUT)
            finally:
                child.kill()
        self._console.print(escape(output.rstrip()), highlight=False)
        if errors:
            self._console.print(f"[dim]{escape(errors.rstrip())}[/]")
        return CommandResult(child.returncode, output, errors)

    def _environment(self) -> dict[str, str]:
        return {
            "BRONZEPOINT_HOSTS": ",".join(self._hosts),
            "BRONZEPOINT_TOKEN": self._token,
            "COLUMNS": str(self._console.width),
        }


def _quote(argument: str) -> str:
    return f"'{argument}'" if " " in argument or '"' in argument else argument
