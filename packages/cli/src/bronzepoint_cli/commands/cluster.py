"""``bronzepoint cluster``: form the cluster and see its state."""

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
"""Role of the host that hears from all voters."""

VOTER_COLUMNS = ("VOTER", "DISK", "LOG INDEX", "HEARD")


@app.command("init")
def init(context: typer.Context, json: JsonOption = False) -> None:
    """Form the cluster of the voters in the settings; to be run once.

    Running it again changes nothing.

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
    each: Annotated[
        bool, typer.Option("--each", help="Ask each host of --hosts, not only one.")
    ] = False,
    json: JsonOption = False,
) -> None:
    """Show what hosts say of themselves and of the agreement.

    IN BOUND says whether the host can know that no newer catalogue is in force.

    Example: bronzepoint cluster status --each
    """

    async def act(gateway: Gateway) -> tuple[list[StatusAnswer], list[str]]:
        if not each:
            return [await gateway.get("/v1/admin/status", StatusAnswer)], []
        return await ask_each(gateway)

    answers, problems = run_with_gateway(context, act)
    if json:
        print_json(answers)
    else:
        print_statuses(answers)
    if problems:
        error = CliError("\n  ".join(["not every host answered", *problems]))
        error.code = ExitCode.FAILED if answers else ExitCode.UNREACHABLE
        raise error


async def ask_each(gateway: Gateway) -> tuple[list[StatusAnswer], list[str]]:
    """Ask every host of the profile; return answers, and problems of the others."""
    answers, problems = [], []
    for address in gateway.profile.hosts:
        try:
            answers.append(await gateway.get_from(address, STATUS_PATH, StatusAnswer))
        except (HttpError, CliError) as exc:
            problems.append(str(exc))
    return answers, problems


STATUS_PATH = "/v1/admin/status"


def print_statuses(answers: list[StatusAnswer]) -> None:
    """Print the hosts, then the voters as the leader sees them, then failures."""
    print_table(COLUMNS, map(status_row, answers))
    for answer in answers:
        if answer.role == LEADER:
            print(f"\nvoters as {answer.host} sees them")
            print_table(VOTER_COLUMNS, map(voter_row, answer.voter_states))
    for answer in answers:
        if answer.failure:
            print(f"\n{answer.host}: {answer.failure}")


def voter_row(voter: VoterState) -> tuple[object, ...]:
    """Return the row of one voter; its order is that of VOTER_COLUMNS."""
    heard = f"{voter.silent:.1f} s ago" if voter.silent >= 0 else "never"
    lost = voter.found not in ("", voter.storage)
    return voter.host, "lost" if lost else "same", voter.index, heard


def status_row(answer: StatusAnswer) -> tuple[object, ...]:
    """Return the row of one host; its order is that of COLUMNS."""
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
