"""Errors of the replicated catalogue."""

from bronzepoint_schema.ids import ChangeId, HostName, OperatorName


class AgreementError(Exception):
    """Base class of all errors of the replicated catalogue.

    Attributes:
        outcome_unknown: Whether the change may still be applied.
    """

    outcome_unknown = False


class NotLeader(AgreementError):
    """No leader could be reached; the change was certainly not accepted."""

    def __init__(self) -> None:
        super().__init__(
            "No voter knows a leader, so the change was not taken. Remedy: check "
            "that a quorum of the voters runs and that 'cluster init' was done, then "
            "send it again."
        )


class NoQuorum(AgreementError):
    """The change was sent to a voter but its outcome didn't arrive in time."""

    outcome_unknown = True

    def __init__(self, change_id: ChangeId) -> None:
        self.change_id = change_id
        super().__init__(
            f"Change {change_id} was handed to a voter but its outcome is unknown. "
            "Remedy: send it again with the same change id; it is applied once."
        )


class NoRoom(AgreementError):
    """The voters have no room for the change; it was certainly not accepted.

    Attributes:
        retry_after: Seconds after which there may be room; 0: there will be none.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        self.retry_after = retry_after
        remedy = "send it again later"
        if not retry_after:
            remedy = "send a smaller one, or raise [agreement] log_bytes on all voters"
        super().__init__(
            f"The change was not taken, as there is no room for it: {reason}. "
            f"Remedy: {remedy}."
        )


class Conflict(AgreementError):
    """The item has another version than the change was made for."""

    def __init__(self, winner: OperatorName, version: int) -> None:
        self.winner = winner
        self.version = version
        holder = f"version {version}, by operator {winner}"
        super().__init__(
            f"The item is at {holder if version else 'no version: it does not exist'}"
            f". Remedy: read it again and send the change with version {version + 1}."
        )


class Overtaken(AgreementError):
    """Another order was applied since this one was given; this one has no effect."""

    def __init__(self) -> None:
        super().__init__(
            "Another order for this data center was accepted since this one "
            "arrived, so it was dropped. Remedy: send it again if it still holds."
        )


class ChangeExpired(AgreementError):
    """The change is older than the outcomes that voters keep."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(
            f"Change {change_id} is too old: it is no longer known whether it was "
            "applied. Remedy: check the clock of the operator's machine, read "
            "the item, and send a new change if it is still wanted."
        )


class Invalid(AgreementError):
    """The change contradicts itself; it was not accepted.

    Args:
        problems: One sentence with a remedy for each contradiction.
    """

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__(" ".join(problems))


class SettingsUnsafe(AgreementError):
    """The times in the settings would allow two leaders to act at the same time."""

    def __init__(self, lease: float, election_timeout: float) -> None:
        super().__init__(
            f"[agreement] lease = {lease:g} must be below election_timeout = "
            f"{election_timeout:g}: a new leader could start while the former one "
            "still acts. Remedy: lower the lease or raise the election timeout."
        )


class VoterWithoutDisk(AgreementError):
    """A voter has no data folder."""

    def __init__(self, host: HostName) -> None:
        super().__init__(
            f"Host {host} is a voter without a data folder: it could not store "
            "its votes. Remedy: set [host] data_folder, or voter = false."
        )


class InitialiseRefused(AgreementError):
    """The cluster can't be initialised now."""

    def __init__(self, reason: str, remedy: str) -> None:
        super().__init__(f"Not initialised: {reason}. Remedy: {remedy}.")
