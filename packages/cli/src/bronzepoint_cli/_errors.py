"""Errors that end a command, and their exit codes."""

from enum import IntEnum

from bronzepoint_schema.generated.decisions import Ran, Refusal


class ExitCode(IntEnum):
    """Exit status of a command."""

    OK = 0
    FAILED = 1
    """A host refused the request, or the checked file has faults."""
    USAGE = 2
    """The command line, the client file or an input file is wrong."""
    UNREACHABLE = 3
    """No host could be reached, or none gave a complete answer."""
    INTERRUPTED = 130
    """Ended by Ctrl-C; shells use this status too."""


class CliError(Exception):
    """Base of the errors that end a command with a message."""

    code = ExitCode.FAILED


class UsageFault(CliError):
    """The command line or an input file is invalid."""

    code = ExitCode.USAGE


class NoHostReachable(CliError):
    """None of the hosts answered.

    Args:
        problems: The failure at each host that was tried.
        advice: What the user should do; empty for the default advice.
    """

    code = ExitCode.UNREACHABLE

    def __init__(self, problems: list[str], advice: str = "") -> None:
        self.problems = problems
        remedy = advice or "check --hosts and whether bronzepointd runs there"
        lines = [f"no host gave an answer; {remedy}", *problems]
        super().__init__("\n  ".join(lines))


class RefusedByHost(CliError):
    """A host refused the request.

    Args:
        refusal: The host's refusal.
        is_query: Whether the request only read data, so that nothing can have run.
        advice: How to resend the request if it is unknown whether it ran.
    """

    def __init__(
        self, refusal: Refusal, is_query: bool = False, advice: str = ""
    ) -> None:
        self.refusal = refusal
        super().__init__(_describe(refusal, is_query, advice))


class AnswerUnreadable(CliError):
    """A host's answer can't be decoded by this version."""

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"{address} gave an answer that can't be read ({detail}); check that "
            "bronzepointd of this version listens there"
        )


class Interrupted(CliError):
    """Ended by Ctrl-C while a request was in flight."""

    code = ExitCode.INTERRUPTED

    def __init__(self, advice: str) -> None:
        super().__init__(f"interrupted; {advice}" if advice else "interrupted")


class TargetError(CliError):
    """The target answered with an error."""


class AnswerIncomplete(CliError):
    """A streamed answer was truncated."""

    code = ExitCode.UNREACHABLE

    def __init__(self, detail: str) -> None:
        super().__init__(f"the answer is not whole ({detail}); don't rely on it")


def _describe(refusal: Refusal, is_query: bool, advice: str) -> str:
    lines = [f"refused ({refusal.kind}): {refusal.message}", f"  {refusal.remedy}"]
    match refusal.ran:
        case _ if is_query:
            pass
        case Ran.no:
            lines.append("  the request did not run")
        case Ran.unknown:
            lines.append("  it is not known whether the request ran")
            lines += [f"  {advice}"] if advice else []
    if refusal.retry_after > 0:
        lines.append(f"  another try makes sense in {refusal.retry_after:g} s")
    if refusal.request_id and not is_query:
        lines.append(f"  reasons: bronzepoint why {refusal.request_id}")
    return "\n".join(lines)


__all__ = [
    "AnswerIncomplete",
    "AnswerUnreadable",
    "CliError",
    "ExitCode",
    "Interrupted",
    "NoHostReachable",
    "RefusedByHost",
    "TargetError",
    "UsageFault",
]
