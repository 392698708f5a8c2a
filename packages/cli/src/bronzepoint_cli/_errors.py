"""Errors that end a command, with their exit codes."""

from enum import IntEnum

from bronzepoint_schema.generated.decisions import Ran, Refusal


class ExitCode(IntEnum):
    """What a script can tell from the exit status."""

    OK = 0
    FAILED = 1
    """A host answered, and refused; or the checked thing has faults."""
    USAGE = 2
    """The command line, the client file or an input file is wrong."""
    UNREACHABLE = 3
    """No host could be reached, or none gave a whole answer."""
    INTERRUPTED = 130
    """Ended by Ctrl-C, as shells have it."""


class CliError(Exception):
    """Base of the errors that end a command with a message."""

    code = ExitCode.FAILED


class UsageFault(CliError):
    """Something that was typed or stands in a file is wrong."""

    code = ExitCode.USAGE


class NoHostReachable(CliError):
    """No host of the list gave an answer.

    Args:
        problems: What happened at each host that was tried.
        advice: What to do, where checking the hosts is not all.
    """

    code = ExitCode.UNREACHABLE

    def __init__(self, problems: list[str], advice: str = "") -> None:
        self.problems = problems
        remedy = advice or "check --hosts and whether bronzepointd runs there"
        lines = [f"no host gave an answer; {remedy}", *problems]
        super().__init__("\n  ".join(lines))


class RefusedByHost(CliError):
    """A host refused.

    Args:
        refusal: Its reason.
        question: True: the host was only asked something, so that there is nothing
            that might have run.
        advice: How to send it again, where it is not known whether it ran.
    """

    def __init__(
        self, refusal: Refusal, question: bool = False, advice: str = ""
    ) -> None:
        self.refusal = refusal
        super().__init__(_describe(refusal, question, advice))


class AnswerUnreadable(CliError):
    """A host answered what this version does not understand."""

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"{address} gave an answer that can't be read ({detail}); check that "
            "bronzepointd of this version listens there"
        )


class Interrupted(CliError):
    """Ended by Ctrl-C while a request was on its way."""

    code = ExitCode.INTERRUPTED

    def __init__(self, advice: str) -> None:
        super().__init__(f"interrupted; {advice}" if advice else "interrupted")


class TargetError(CliError):
    """The target itself answered with an error."""


class AnswerIncomplete(CliError):
    """A streamed answer ended before its end."""

    code = ExitCode.UNREACHABLE

    def __init__(self, detail: str) -> None:
        super().__init__(f"the answer is not whole ({detail}); don't rely on it")


def _describe(refusal: Refusal, question: bool, advice: str) -> str:
    lines = [f"refused ({refusal.kind}): {refusal.message}", f"  {refusal.remedy}"]
    match refusal.ran:
        case _ if question:
            pass
        case Ran.no:
            lines.append("  the request did not run")
        case Ran.unknown:
            lines.append("  it is not known whether the request ran")
            lines += [f"  {advice}"] if advice else []
    if refusal.retry_after > 0:
        lines.append(f"  another try makes sense in {refusal.retry_after:g} s")
    if refusal.request_id and not question:
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
