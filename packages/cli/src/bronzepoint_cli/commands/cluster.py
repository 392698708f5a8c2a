"""``bronzepoint cluster``: form the cluster and show its state."""

from typing import Annotated

import typer

from bronzepoint_cli._errors import CliError, ExitCode
from bronzepoint_cli._gateway import Gateway
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_common.http import HttpError
from bronzepoint_schema.generated.admin import StatusAnswer, VoterState

app = typer.Typer(
    help="Form the cluster and see its state.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

COLUMNS = (
    "HOST",
    "REGION",
    "STATE",
    "READY",
    "REVISION",
    "CONFIRMED",
    "IN BOUND",
    "ROLE",
    "TERM",
    "LEADER",
    "IN PROGRESS",
)
LEADER = "leader"
"""Role of the host whose answer lists the states of all voters."""

VOTER_COLUMNS = ("VOTER", "DISK", "LOG INDEX", "HEARD")


@app.command("init")
def init(context: typer.Context, json: JsonOption = False) -> None:
    """Form the cluster from the voters in the settings.

    Run this once; running it again changes nothing.

    Example: bronzepoint --hosts 10.0.0.1:8080 cluster init
    """
    answer = run_with_gateway(
        context,
        lambda gateway: gateway.post("/v1/admin/init", b"{}", StatusAnswer),
    )
    if json:
        print_json(answer)
        return
    print(f"formed; {answer.leader or 'no host'} leads in term {answer.term}")


@app.command("status")
def status(
    context: typer.Context,
    query_all: Annotated[
        bool, typer.Option("--each", help="Ask each host of --hosts, not only one.")
    ] = False,
    json: JsonOption = False,
) -> None:
    """Show the state of hosts and of the agreement, as reported by the hosts.

    IN BOUND says whether the host has confirmed its catalogue so recently that no newer
    one can be in effect.

    Example: bronzepoint cluster status --each
    """

    async def act(gateway: Gateway) -> tuple[list[StatusAnswer], list[str]]:
        if not query_all:
            return [await gateway.get("/v1/admin/status", StatusAnswer)], []
        return await query_each_host(gateway)

    answers, problems = run_with_gateway(context, act)
    if json:
        print_json(answers)
    else:
        print_statuses(answers)
    if problems:
        error = CliError("\n  ".join(["not every host answered", *problems]))
        error.code = ExitCode.FAILED if answers else ExitCode.UNREACHABLE
        raise error


async def query_each_host(gateway: Gateway) -> tuple[list[StatusAnswer], list[str]]:
    """Query every host of the profile; return the answers and the failures."""
    answers, problems = [], []
    for address in gateway.profile.hosts:
        try:
            answers.append(await gateway.get_from(address, STATUS_PATH, StatusAnswer))
        except (HttpError, CliError) as exc:
            problems.append(str(exc))
    return answers, problems


STATUS_PATH = "/v1/admin/status"


def print_statuses(answers: list[StatusAnswer]) -> None:
    """Print the hosts, the voters as seen by the leader, and failures of hosts."""
    print_table(COLUMNS, map(status_row, answers))
    for answer in answers:
        if answer.role == LEADER:
            print(f"\nvoters as {answer.host} sees them")
            print_table(VOTER_COLUMNS, map(voter_row, answer.voter_states))
    for answer in answers:
        if answer.failure:
            print(f"\n{answer.host}: {answer.failure}")


def voter_row(voter: VoterState) -> tuple[object, ...]:
    """Return the table row of a voter, in the order of VOTER_COLUMNS."""
    last_contact = f"{voter.silent:.1f} s ago" if voter.silent >= 0 else "never"
    storage_changed = voter.found not in ("", voter.storage)
    return voter.host, "lost" if storage_changed else "same", voter.index, last_contact


def status_row(answer: StatusAnswer) -> tuple[object, ...]:
    """Return the table row of a host, in the order of COLUMNS."""
    known = answer.confirmed_age >= 0
    return (
        answer.host,
        answer.region,
        answer.state,
        answer.ready,
        answer.revision,
        f"{answer.confirmed_age:.1f} s ago" if known else "never",
        answer.within_bound,
        answer.role,
        answer.term,
        answer.leader,
        answer.in_progress,
    )


__all__ = ["app"]
