"""Proposer: reads and changes one register by rounds of votes."""

import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once._ballots import (
    following_ballot,
    new_ballot,
    rank,
)
from bronzepoint_node.run_once._errors import RoundFailed
from bronzepoint_node.run_once._owners import Owners, fingerprint
from bronzepoint_node.run_once._round import Round, RoundState
from bronzepoint_node.run_once._states import Change, State
from bronzepoint_schema.generated.run_once import (
    Accept,
    Ballot,
    Phase,
    Prepare,
    Vote,
    VoteResult,
)
from bronzepoint_schema.ids import HostName

Send = Callable[[HostName, Prepare | Accept], Awaitable[None]]

RESENDS = 4
"""Number of resends within the timeout to replicas that have not voted."""
MAX_PAUSE = 0.02
"""Maximum random pause (s) before a new round after one was preempted."""


@dataclass(frozen=True)
class Agreed:
    """State that a majority of the replicas agreed on.

    Attributes:
        state: The state; None if the register was never written.
        following: Ballot promised for the next change; None if nothing was written.
    """

    state: State | None
    following: Ballot | None


class Proposer:
    """Reads and changes registers by rounds of votes (CASPaxos).

    The prepare phase asks a majority of the key's replicas to refuse older rounds and
    to return their state. The accept phase stores the result of the change function
    for the newest state. It also promises the following ballot, so that recording the
    outcome of a claim needs only the accept phase.

    Args:
        name: This host.
        owners: Determines which hosts keep a key.
        send: Sends a message to a host; messages may be lost.
        metrics: Counts rounds and why they were repeated.
    """

    def __init__(
        self, name: HostName, owners: Owners, send: Send, metrics: Metrics
    ) -> None:
        self._name = name
        self._owners = owners
        self._send = send
        self._metrics = metrics
        self._rounds: dict[tuple[Phase, int, int], Round] = {}

    async def add_vote(self, host: HostName, vote: Vote) -> None:
        """Add a replica's vote to the round that waits for it."""
        current = self._rounds.get(_round_id(vote.phase, vote.ballot))
        if current is not None:
            await current.add(host, vote)

    async def change(self, key: bytes, change: Change, timeout: float) -> Agreed:
        """Apply a change function to the register and return the agreed state.

        Args:
            key: The register's key.
            change: Pure function; may be called several times.
            timeout: Seconds.

        Raises:
            RoundFailed: No majority took part in time.
        """
        deadline = await curio.clock() + timeout
        counter = 1
        stored = False
        while True:
            ballot = new_ballot(counter, self._name)
            prepared = await self._prepare(key, ballot, deadline, stored)
            if prepared.state() is RoundState.granted:
                present = prepared.latest_state()
                state = change(present)
                if state is None and prepared.is_settled():
                    return Agreed(present, None)
                state = state if state is not None else present
                stored = True
                accepted = await self._accept(key, ballot, state, deadline)
                if accepted.state() is RoundState.granted:
                    return Agreed(state, following_ballot(ballot))
                counter = _next_counter(accepted, counter)
            else:
                counter = _next_counter(prepared, counter)
            self._metrics.incr("retry.run_once_preempted")
            await curio.sleep(random.uniform(0, MAX_PAUSE))

    async def change_promised(
        self, key: bytes, ballot: Ballot, state: State, timeout: float
    ) -> bool:
        """Store a state under a promised ballot; return False if it was preempted.

        Raises:
            RoundFailed: No majority took part in time.
        """
        deadline = await curio.clock() + timeout
        accepted = await self._accept(key, ballot, state, deadline)
        return accepted.state() is RoundState.granted

    async def _prepare(
        self, key: bytes, ballot: Ballot, deadline: float, stored: bool
    ) -> Round:
        owners = self._owners.of(key)
        message = Prepare(key, ballot, fingerprint(owners))
        return await self._gather(message, owners, Phase.prepare, deadline, stored)

    async def _accept(
        self, key: bytes, ballot: Ballot, state: State, deadline: float
    ) -> Round:
        owners = self._owners.of(key)
        message = Accept(
            key, ballot, fingerprint(owners), state, following_ballot(ballot)
        )
        return await self._gather(message, owners, Phase.accept, deadline, True)

    async def _gather(
        self,
        message: Prepare | Accept,
        owners: Sequence[HostName],
        phase: Phase,
        deadline: float,
        stored: bool,
    ) -> Round:
        """Send until a majority granted or a replica's promise preempted the round.

        Raises:
            RoundFailed: The deadline passed, or too few replicas may vote.
        """
        current = Round(message, owners)
        round_id = _round_id(phase, message.ballot)
        self._rounds[round_id] = current
        interval = max(deadline - await curio.clock(), 0.0) / (RESENDS + 1)
        try:
            while current.state() is RoundState.waiting:
                if await curio.clock() >= deadline:
                    raise RoundFailed(self._timeout_reason(current), stored)
                for host in current.missing():
                    await self._send(host, message)
                async with curio.ignore_after(interval):
                    await current.decided.wait()
        finally:
            del self._rounds[round_id]
        preempted = VoteResult.preempted in current.refusals()
        if current.state() is RoundState.refused and not preempted:
            raise RoundFailed(", ".join(sorted(set(current.refusals()))), stored)
        return current

    def _timeout_reason(self, current: Round) -> str:
        self._metrics.incr("run_once.round.timeout")
        missing = ", ".join(sorted(current.missing()))
        return f"no vote in time from {missing}"


def _round_id(phase: Phase, ballot: Ballot) -> tuple[Phase, int, int]:
    return (phase, ballot.nonce, ballot.counter)


def _next_counter(preempted: Round, counter: int) -> int:
    promise = preempted.highest_promise()
    return max(counter, rank(promise)[0]) + 1
