"""One host's replicas of the registers: promises, states and expiry."""

import heapq

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once._ballots import rank
from bronzepoint_node.run_once._keys import KeyWindow
from bronzepoint_node.run_once._owners import Owners, fingerprint
from bronzepoint_node.run_once._replica_log import LogRecord
from bronzepoint_node.run_once._voting_rights import VotingRights
from bronzepoint_schema.generated.run_once import (
    Accept,
    Phase,
    Prepare,
    Register,
    Vote,
    VoteResult,
)
from bronzepoint_schema.ids import HostName


class Replica:
    """Paxos acceptor that holds one register per key and votes on rounds.

    A promise refuses all lower ballots; a state is stored only under a ballot at
    least as high as the promise. `vote` changes memory immediately and returns the
    register that must be logged before the vote is sent.

    Args:
        owners: Determines which hosts own a key.
        voting_rights: Determines which keys this replica may vote on.
        window: Determines which keys are in use.
        metrics: Counts refused votes by reason.
    """

    def __init__(
        self,
        owners: Owners,
        voting_rights: VotingRights,
        window: KeyWindow,
        metrics: Metrics,
    ) -> None:
        self._owners = owners
        self._voting_rights = voting_rights
        self._window = window
        self._metrics = metrics
        self.registers: dict[bytes, Register] = {}
        # Keys begin with their creation time, so the smallest expires next.
        self._oldest_first: list[bytes] = []

    def put(self, register: Register) -> None:
        """Store a register, replacing any other one of its key."""
        if register.key not in self.registers:
            heapq.heappush(self._oldest_first, register.key)
        self.registers[register.key] = register

    def vote(self, message: Prepare | Accept) -> tuple[Vote, Register | None]:
        """Return the vote, and the register to log before the vote is sent."""
        owners = self._owners.of(message.key)
        refusal = self._refusal(message, owners)
        if refusal is not None:
            return self._refuse(message, owners, refusal), None
        register = self.registers.get(message.key)
        if register is not None and self._is_preempted(message, register):
            vote = self._refuse(message, owners, VoteResult.preempted)
            vote.promised = register.promised
            return vote, None
        if register is None:
            register = Register(message.key, message.ballot)
            self.put(register)
        match message:
            case Prepare(ballot=ballot):
                register.promised = ballot
                vote = self._answer(message, owners, VoteResult.granted)
                vote.accepted = register.accepted
                vote.state = register.state
            case Accept():
                self._store(message, register)
                vote = self._answer(message, owners, VoteResult.granted)
        return vote, register

    def merge(self, registers: list[Register]) -> list[Register]:
        """Merge the registers of another owner; return those that changed.

        Keys that this replica may already vote on are skipped: it has voted on them
        since, so its own state is newer.
        """
        changed = []
        for received in registers:
            owners = self._owners.of(received.key)
            if self._voting_rights.may_vote(received.key, owners):
                continue
            if self._window.may_be_dropped(received.key):
                continue
            if received.key not in self.registers:
                self.put(received)
            own = self.registers[received.key]
            if rank(received.promised) > rank(own.promised):
                own.promised = received.promised
            if rank(received.accepted) > rank(own.accepted):
                own.accepted = received.accepted
                own.state = received.state
            changed.append(own)
        return changed

    def page(
        self, reader: HostName, cursor: bytes, max_bytes: int
    ) -> tuple[list[Register], bool]:
        """Return registers that `reader` owns, and whether the page is the last.

        Args:
            reader: The host that reads.
            cursor: Last key of the previous page.
            max_bytes: Approximate size in bytes at which a page ends.
        """
        found: list[Register] = []
        size = 0
        for key in sorted(key for key in self.registers if key > cursor):
            if reader not in self._owners.of(key):
                continue
            if size >= max_bytes:
                return found, False
            register = self.registers[key]
            found.append(register)
            size += register_bytes(register)
        return found, True

    def expire(self) -> int:
        """Drop the registers of expired keys; return how many."""
        oldest = self._oldest_first
        count = 0
        while oldest and self._window.may_be_dropped(oldest[0]):
            del self.registers[heapq.heappop(oldest)]
            count += 1
        return count

    def records(self) -> list[LogRecord]:
        """Return the registers to write when the log is compacted."""
        return [
            register
            for key, register in self.registers.items()
            if not self._window.may_be_dropped(key)
        ]

    def _refusal(
        self, message: Prepare | Accept, owners: tuple[HostName, ...]
    ) -> VoteResult | None:
        key = message.key
        if self._window.may_be_dropped(key):
            return VoteResult.expired
        if message.owners != fingerprint(owners):
            return VoteResult.owners_differ
        if self._window.is_too_new(key) or not self._voting_rights.may_vote(
            key, owners
        ):
            return VoteResult.abstained
        return None

    def _is_preempted(self, message: Prepare | Accept, register: Register) -> bool:
        if rank(message.ballot) >= rank(register.promised):
            return False
        # Storing a state promises the following ballot. An Accept that is resent
        # because the vote was lost is below that promise, although it was granted.
        stored = isinstance(message, Accept) and register.accepted == message.ballot
        return not stored

    def _store(self, message: Accept, register: Register) -> None:
        if register.accepted == message.ballot:
            return
        register.promised = message.following
        register.accepted = message.ballot
        register.state = message.state
        self._metrics.incr("run_once.stored")

    def _refuse(
        self,
        message: Prepare | Accept,
        owners: tuple[HostName, ...],
        result: VoteResult,
    ) -> Vote:
        self._metrics.incr(f"run_once.vote.{result}")
        return self._answer(message, owners, result)

    def _answer(
        self,
        message: Prepare | Accept,
        owners: tuple[HostName, ...],
        result: VoteResult,
    ) -> Vote:
        phase = Phase.prepare if isinstance(message, Prepare) else Phase.accept
        return Vote(
            key=message.key,
            ballot=message.ballot,
            phase=phase,
            result=result,
            incarnation=self._voting_rights.incarnation,
            seen=self._voting_rights.known_incarnations(owners),
        )


_REGISTER_OVERHEAD = 200
"""Approximate bytes of a register in a message, without the body of its answer."""


def register_bytes(register: Register) -> int:
    """Return the approximate size in bytes of a register in a message."""
    answer = getattr(register.state, "answer", None)
    return _REGISTER_OVERHEAD + (len(answer.body) if answer is not None else 0)
