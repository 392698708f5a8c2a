"""One host's copies of the registers: promises, states and expiry."""

import heapq

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once._ballots import rank
from bronzepoint_node.run_once._copy_log import LogRecord
from bronzepoint_node.run_once._keys import KeyWindow
from bronzepoint_node.run_once._knowledge import Knowledge
from bronzepoint_node.run_once._owners import Owners, fingerprint
from bronzepoint_schema.generated.run_once import (
    Accept,
    Phase,
    Prepare,
    Register,
    Vote,
    VoteResult,
)
from bronzepoint_schema.ids import HostName


class Copy:
    """Votes on rounds, by the rules of Paxos for one register a key.

    A promise refuses all lower ballots; a state is stored only under a ballot at
    least as high as the promise. `vote` changes memory at once and says whether the
    change must be logged before the vote is sent.

    Args:
        owners: Which keys this host keeps.
        knowledge: Which of them it may vote on.
        window: Which keys are in use.
        metrics: Counts refused votes by reason.
    """

    def __init__(
        self,
        owners: Owners,
        knowledge: Knowledge,
        window: KeyWindow,
        metrics: Metrics,
    ) -> None:
        self._owners = owners
        self._knowledge = knowledge
        self._window = window
        self._metrics = metrics
        self.registers: dict[bytes, Register] = {}
        # Keys begin with their time, so the smallest is the next to expire.
        self._oldest_first: list[bytes] = []

    def keep(self, register: Register) -> None:
        """Put a register in place of any other one of its key."""
        if register.key not in self.registers:
            heapq.heappush(self._oldest_first, register.key)
        self.registers[register.key] = register

    def vote(self, message: Prepare | Accept) -> tuple[Vote, Register | None]:
        """Return the vote, and the register to log before it is sent."""
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
            self.keep(register)
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
        """Take in what another owner keeps; return the registers that changed.

        Keys that this copy may vote on already are left alone: it has answered for
        them since, and its own state is the newer one.
        """
        changed = []
        for theirs in registers:
            owners = self._owners.of(theirs.key)
            if self._knowledge.covers(theirs.key, owners):
                continue
            if self._window.forgotten(theirs.key):
                continue
            if theirs.key not in self.registers:
                self.keep(theirs)
            mine = self.registers[theirs.key]
            if rank(theirs.promised) > rank(mine.promised):
                mine.promised = theirs.promised
            if rank(theirs.accepted) > rank(mine.accepted):
                mine.accepted = theirs.accepted
                mine.state = theirs.state
            changed.append(mine)
        return changed

    def page(
        self, reader: HostName, cursor: bytes, max_bytes: int
    ) -> tuple[list[Register], bool]:
        """Return registers that `reader` owns, after `cursor`, and whether all did fit.

        Args:
            reader: The host that reads.
            cursor: Last key of the page before.
            max_bytes: Bodies of about this many bytes end a page.
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
        """Drop the registers of keys that nobody may use any more; return how many."""
        oldest = self._oldest_first
        count = 0
        while oldest and self._window.forgotten(oldest[0]):
            del self.registers[heapq.heappop(oldest)]
            count += 1
        return count

    def records(self) -> list[LogRecord]:
        """Return the registers to keep when the log is rewritten."""
        return [
            register
            for key, register in self.registers.items()
            if not self._window.forgotten(key)
        ]

    def _refusal(
        self, message: Prepare | Accept, owners: tuple[HostName, ...]
    ) -> VoteResult | None:
        key = message.key
        if self._window.forgotten(key):
            return VoteResult.expired
        if message.owners != fingerprint(owners):
            return VoteResult.owners_differ
        if self._window.unborn(key) or not self._knowledge.covers(key, owners):
            return VoteResult.abstained
        return None

    def _is_preempted(self, message: Prepare | Accept, register: Register) -> bool:
        if rank(message.ballot) >= rank(register.promised):
            return False
        # Storing a state promises the following ballot. A repeated Accept, sent since
        # the vote was lost, is below that promise and yet was granted.
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
            incarnation=self._knowledge.incarnation,
            seen=self._knowledge.seen_by(owners),
        )


_REGISTER_OVERHEAD = 200


def register_bytes(register: Register) -> int:
    """Return roughly how many bytes a register takes in a message."""
    answer = getattr(register.state, "answer", None)
    return _REGISTER_OVERHEAD + (len(answer.body) if answer is not None else 0)
