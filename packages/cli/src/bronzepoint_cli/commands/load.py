"""``bronzepoint load``: generate load and measure the latencies seen by a caller."""

import sys
import time
from typing import Annotated

import msgspec
import typer
import uuid_utils
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from bronzepoint_cli._chat import PATH as CHAT_PATH
from bronzepoint_cli._chat import chat_body
from bronzepoint_cli._errors import CliError, Interrupted, UsageFault
from bronzepoint_cli._gateway import SAFE_METHODS, Gateway, path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_common.load import (
    Latency,
    Load,
    LoadCall,
    LoadLimits,
    LoadResult,
    OutcomeKind,
    arrival_times,
)
from bronzepoint_schema.generated.admin import DirectoryAnswer

PERCENTILES = (50.0, 95.0, 99.0, 100.0)
"""Latency percentiles shown in the report, in percent."""


class LatencyRow(msgspec.Struct):
    """Distribution of one measured latency in milliseconds."""

    name: str
    count: int
    mean: float
    percentiles: dict[str, float]


class LoadReport(msgspec.Struct):
    """Results of a load run, as printed with `--json`."""

    sent: int
    seconds: float
    outcomes: dict[str, int]
    refusals: dict[str, int]
    regions: dict[str, int]
    retries: dict[str, int]
    latencies: list[LatencyRow]


class NothingAnswered(CliError):
    """None of the requests was answered."""


def load(
    context: typer.Context,
    entry: Annotated[str, typer.Argument(help="Catalogue entry.")],
    text: Annotated[
        str, typer.Argument(help="Prompt; for a service, the body to send.")
    ] = "Where is the pharmacy?",
    rate: Annotated[
        float, typer.Option(min=0.01, max=10_000, help="Requests per second.")
    ] = 5.0,
    duration: Annotated[
        float,
        typer.Option(min=0.1, max=3600, help="Seconds during which requests are sent."),
    ] = 10.0,
    seed: Annotated[int, typer.Option(help="Seed of the arrival times.")] = 1,
    in_progress: Annotated[
        int,
        typer.Option(min=1, max=10_000, help="Maximum number of requests in progress."),
    ] = 100,
    max_tokens: Annotated[
        int, typer.Option(min=1, help="Maximum number of tokens per answer.")
    ] = 64,
    path: Annotated[
        str, typer.Option(help="Path of a plain service, such as /phrases.")
    ] = "",
    method: Annotated[str, typer.Option(help="Method for a plain service.")] = "GET",
    json: JsonOption = False,
) -> None:
    """Send requests at random times, and show the latencies seen by a caller.

    Latencies are measured from the scheduled time of a request, so that a slow answer
    can't hide the waiting time of later requests. Requests are sent round robin to the
    hosts of the first region in the directory.

    Example: bronzepoint load phrasebook --rate 20 --duration 30
    """
    if path and not path.startswith("/"):
        raise UsageFault(f"--path {path!r} must begin with /")
    call_maker = CallMaker(entry, text, max_tokens, path, method.upper())
    times = list(arrival_times(rate, duration, seed))
    limits = LoadLimits(in_progress=in_progress)

    result = LoadResult()

    async def act(gateway: Gateway) -> None:
        hosts = _first_region_hosts(await gateway.follow_directory())
        token = gateway.profile.token
        engine = Load(gateway.http, hosts or gateway.hosts, token, limits)
        engine.result = result
        with LoadProgress(len(times)) as progress:
            await engine.run(times, call_maker.make, progress.show)

    show = print_json if json else print_report
    began = time.monotonic()
    try:
        run_with_gateway(context, act)
    except Interrupted:
        # Show the results measured so far.
        result.seconds = time.monotonic() - began
        show(report_of(result))
        raise
    show(report_of(result))
    if result.sent and not result.outcomes[OutcomeKind.answered]:
        raise NothingAnswered("not one request was answered; see the outcomes above")


def _first_region_hosts(directory: DirectoryAnswer) -> list[str]:
    regions = {host.region for host in directory.hosts[:1]}
    return [host.address for host in directory.hosts if host.region in regions]


class CallMaker:
    """Creates the calls of a load run, which only differ in their idempotency keys."""

    def __init__(
        self, entry: str, text: str, max_tokens: int, path: str, method: str
    ) -> None:
        self._service = bool(path)
        self._method = method if path else "POST"
        self._path = f"/v1/services/{path_part(entry)}{path}" if path else CHAT_PATH
        self._body = text.encode() if path else chat_body(entry, text, max_tokens)
        if path and method in SAFE_METHODS:
            self._body = b""

    def make(self, number: int) -> LoadCall:
        """Return the call with the given number."""
        headers = {"Content-Type": "application/json"}
        changes = self._service and self._method not in SAFE_METHODS
        if changes:
            headers["idempotency-key"] = str(uuid_utils.uuid7())
        return LoadCall(
            self._method,
            self._path,
            self._body,
            headers,
            stream=not self._service,
            idempotent=not changes,
        )


class LoadProgress:
    """Progress bar on standard error; hidden if that is no terminal."""

    def __init__(self, total: int) -> None:
        self._progress = Progress(
            TextColumn("{task.completed}/{task.total} ended"),
            BarColumn(),
            TimeRemainingColumn(),
            TextColumn("{task.fields[refused]} refused"),
            console=Console(stderr=True),
            transient=True,
            disable=not sys.stderr.isatty(),
        )
        self._task = self._progress.add_task("load", total=total, refused=0)

    def __enter__(self) -> "LoadProgress":
        self._progress.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._progress.stop()

    def show(self, result: LoadResult) -> None:
        """Update the progress bar."""
        refused = result.outcomes[OutcomeKind.refused]
        self._progress.update(self._task, completed=result.sent, refused=refused)


def report_of(result: LoadResult) -> LoadReport:
    """Return the report of a load run."""
    return LoadReport(
        result.sent,
        round(result.seconds, 3),
        _sorted(result.outcomes),
        _sorted(result.refusals),
        _sorted(result.regions),
        _sorted(result.retries),
        [
            _latency_row("first piece", result.first),
            _latency_row("between pieces", result.between),
            _latency_row("whole answer", result.total),
        ],
    )


def print_report(report: LoadReport) -> None:
    """Print the counts and a table of latencies."""
    print(f"sent {report.sent} requests in {report.seconds:.1f} s")
    for name in ("outcomes", "refusals", "regions", "retries"):
        counts = getattr(report, name)
        if counts:
            shown = ", ".join(f"{kind} {count}" for kind, count in counts.items())
            print(f"{name}: {shown}")
    headings = [_percentile_name(percent) for percent in PERCENTILES]
    rows = [
        (row.name, row.count, row.mean, *row.percentiles.values())
        for row in report.latencies
    ]
    print_table(("LATENCY (ms)", "COUNT", "MEAN", *headings), rows)


def _latency_row(name: str, latency: Latency) -> LatencyRow:
    percentiles = {
        _percentile_name(percent): round(latency.percentile(percent) * 1000, 1)
        for percent in PERCENTILES
    }
    return LatencyRow(name, latency.count, round(latency.mean() * 1000, 1), percentiles)


def _percentile_name(percent: float) -> str:
    return "MAX" if percent == 100 else f"P{percent:g}"


def _sorted(counts: dict[str, int]) -> dict[str, int]:
    return {str(name): counts[name] for name in sorted(counts)}


__all__ = ["load"]
