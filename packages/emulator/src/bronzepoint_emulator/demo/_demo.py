"""The steps of the demo; each checks the result that it shows."""

import time
from collections.abc import Callable

from rich.console import Console

from bronzepoint_emulator.demo._command_line import CommandLine
from bronzepoint_emulator.demo._errors import StepFailed
from bronzepoint_emulator.deployment import (
    Deployment,
    DeploymentError,
    new_key,
    new_nonce,
    saphan,
    wait_until,
)

REGION = "bkk"
REFUSED_STATUS = 1
"""Exit status of a command whose request was refused."""
WIDTH = 110
"""Columns of the output."""


def run_demo() -> int:
    """Start the deployment and run all steps.

    Returns:
        Exit status: 0, or 1 if a step failed.
    """
    console = Console(width=WIDTH)
    began = time.monotonic()
    console.rule("Saphan: nine hosts in bkk, sgp and cnx, with stub targets")
    try:
        with Deployment(saphan()) as deployment:
            taken = time.monotonic() - began
            console.print(f"Nine daemons are ready after {taken:.1f} s.")
            Demo(console, deployment).run()
    except (StepFailed, DeploymentError) as exc:
        console.print(f"[bold red]Failed:[/] {exc}")
        return 1
    taken = time.monotonic() - began
    console.rule(f"[green]Every step held[/] ({taken:.0f} s)")
    return 0


class Demo:
    """One run of the steps.

    Args:
        console: Console to print to.
        deployment: Saphan's deployment, ready to serve.
    """

    def __init__(self, console: Console, deployment: Deployment) -> None:
        self._console = console
        self._deployment = deployment
        hosts = ["bkk-1", "bkk-2", "sgp-1"]
        addresses = [deployment.address(host) for host in hosts]
        self._caller = CommandLine(console, addresses, "token-saphan-bkk")
        self._operator = CommandLine(console, addresses, "operator-anong")
        self._remote_operator = CommandLine(
            console, [deployment.address("sgp-3")], "operator-deniz"
        )

    def run(self) -> None:
        """Run the steps in order.

        Raises:
            StepFailed: The check of a step failed.
        """
        steps: list[tuple[str, Callable[[], None]]] = [
            ("An operator's view of the system", self._show_system),
            ("A streamed answer", self._stream),
            ("A phrase sent twice is saved once", self._save),
            ("A refusal says whether the request ran", self._refuse),
            ("A host is killed and the next request is still answered", self._kill),
        ]
        for title, step in steps:
            self._console.rule(title, align="left")
            step()

    def _show_system(self) -> None:
        _expect(self._operator.run("hosts").status == 0, "the hosts are listed")
        listed = self._operator.run("catalogue", "list")
        _expect("phrasebook" in listed.output, "the catalogue has the phrasebook")

    def _stream(self) -> None:
        nonce = new_nonce()[:8]
        prompt = f"How do I ask for eye drops? {nonce}"
        sent = self._caller.run("send", "phrasebook", prompt, "--max-tokens", "12")
        _expect(sent.status == 0, "the phrasebook answers")
        _expect(f"echo:{nonce}" in sent.output, "the answer is to this request")
        self._show_decision(self._operator, sent.request_id)

    def _save(self) -> None:
        nonce, key = new_nonce(), new_key()
        body = f'{{"nonce":"{nonce}","phrase":"sabaidee"}}'
        command = ["send", "phrases", body, "--path", "/saved", "--method", "POST"]
        first = self._caller.run(*command, "--key", key)
        second = self._caller.run(*command, "--key", key)
        _expect(first.status == 0, "the phrase is saved")
        _expect(second.output == first.output, "the second call gets the same answer")
        runs = self._deployment.nonce_runs(nonce)
        self._console.print(f"Runs counted by the service for this phrase: {runs}")
        _expect(list(runs.values()) == [1], "it was saved once")
        self._show_decision(self._operator, second.request_id)

    def _refuse(self) -> None:
        refused = self._caller.run("send", "weather", "Will it rain?")
        _expect(refused.status == REFUSED_STATUS, "an unknown entry is refused")
        runs = self._deployment.runs(refused.request_id)
        _expect(not runs, "no target ran it")
        self._show_decision(self._operator, refused.request_id)

    def _kill(self) -> None:
        before = self._caller.run("send", "phrasebook", "Before", "--max-tokens", "4")
        _expect(before.status == 0, "a request is answered before")
        self._wait_until_copied()
        self._deployment.kill("bkk-1")
        self._console.print("[bold]bkk-1 is killed (SIGKILL).[/]")
        after = self._caller.run("send", "phrasebook", "After", "--max-tokens", "4")
        _expect(after.status == 0, "the next request is answered")
        _expect("bkk-1." not in after.request_id, "another host answered it")
        # The killed host's decision record is read from a copy in another region.
        self._show_decision(self._remote_operator, before.request_id)
        self._show_decision(self._remote_operator, after.request_id)

    def _wait_until_copied(self) -> None:
        """Wait until the region's decision records are on their backup hosts.

        Copies are sent in batches, and records not yet sent are lost when a host is
        killed. Without waiting, the record of a request just before would sometimes be
        missing.
        """
        hosts = [host.name for host in self._deployment.layout.region_hosts(REGION)]

        def copied() -> bool:
            counters = [self._deployment.operator(h).counters() for h in hosts]
            recorded, sent, stored = (
                sum(
                    answer["counters"].get(f"decisions.{name}", 0)
                    for answer in counters
                )
                for name in ("recorded", "copied", "copies_kept")
            )
            return recorded == sent == stored

        wait_until(copied, "the region's decision records are copied")

    def _show_decision(self, command_line: CommandLine, request_id: str) -> None:
        result = command_line.run("why", request_id)
        _expect(result.status == 0, "the decision record is found")
        _expect(request_id in result.output, "the record belongs to this request")


def _expect(condition: bool, what: str) -> None:
    if not condition:
        raise StepFailed(f"check failed: {what}")
