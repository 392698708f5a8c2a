"""Determines which keys a replica may vote on after a loss of memory."""

from collections.abc import Sequence
from dataclasses import dataclass

from bronzepoint_node.run_once._keys import KeyWindow, key_time
from bronzepoint_node.run_once._owners import Owners, majority
from bronzepoint_schema.generated.run_once import Identity
from bronzepoint_schema.ids import HostName


@dataclass(frozen=True)
class PeerState:
    """State that another replica reported when its registers were read.

    Attributes:
        hosts: Fingerprint of its list of the region's hosts.
        since: Unix time (ms) at which it adopted that list; 0 if it always had it.
        reader_since: Unix time (ms) at which this host first was on its list; 0 if
            it always was.
        floor: Key time (ms) up to which its registers may be incomplete.
        incarnation: Its incarnation at that time.
    """

    hosts: int
    since: int
    reader_since: int
    floor: int
    incarnation: int


class VotingRights:
    """Decides whether this replica may vote on a key.

    A replica that lost its memory (no disk, or a lost data folder) no longer knows
    its promises and states. If it voted immediately, it could form a majority with a
    second replica that has no record of a request that ran, and the request would run
    twice after one restart. So it votes on a key only

    - if the key is newer than any key it can have voted on before, or
    - if it has read so many other owners of the key that every majority which could
      have counted its earlier votes includes one of them.

    Votes of an earlier incarnation may still be in flight. Incarnation numbers
    increase, and the other replicas record the reader's number before they let it
    read them. A proposer drops a vote whose incarnation is older than the one known
    to another voter (see `Round`).

    Attributes:
        incarnation: Number of this replica's current incarnation.
        floor: Key time (ms) up to which memory was lost; 0 if none was.
        incarnations: Newest known incarnation of each other host.
        peer_states: State last read from each other host.
    """

    def __init__(self, name: HostName, owners: Owners, window: KeyWindow) -> None:
        self._name = name
        self._owners = owners
        self._window = window
        self.incarnation = 0
        self.floor = 0
        self.incarnations: dict[HostName, int] = {}
        self.peer_states: dict[HostName, PeerState] = {}
        self._all_read = False
        self._majority_read = False
        self._is_new_member = False
        self._switch_times: dict[int, int] = {}

    @property
    def recovered(self) -> bool:
        """Whether this replica has read all that the other replicas hold."""
        alone = len(self._owners.hosts) == 1
        return self.floor == 0 or self._all_read or alone

    def start_without_memory(self, incarnation: int) -> None:
        """Start an incarnation without memory."""
        self.incarnation = incarnation
        self.floor = self._window.floor()
        self.peer_states.clear()
        self._all_read = False
        self._is_new_member = False
        self._switch_times.clear()

    def restore(self, identity: Identity) -> None:
        """Continue the incarnation recorded in the log."""
        self.incarnation = identity.incarnation
        self.floor = identity.floor

    def identity(self) -> Identity:
        """Return the record of this incarnation for the log."""
        return Identity(
            incarnation=self.incarnation,
            floor=self.floor,
            history=list(self._owners.history),
        )

    def learn_incarnation(self, host: HostName, incarnation: int) -> bool:
        """Record another replica's incarnation; return whether it is new."""
        if host == self._name or self.incarnations.get(host, 0) >= incarnation:
            return False
        self.incarnations[host] = incarnation
        return True

    def known_incarnations(self, owners: Sequence[HostName]) -> list[int]:
        """Return the newest known incarnation of each owner."""
        return [
            self.incarnation if host == self._name else self.incarnations.get(host, 0)
            for host in owners
        ]

    def may_vote(self, key: bytes, owners: Sequence[HostName]) -> bool:
        """Return whether this replica may vote on a key."""
        is_new_owner = self._owners.is_new_owner(key)
        if self.floor == 0 and not is_new_owner:
            return True
        created = key_time(key)
        if is_new_owner or self._is_new_member:
            # The previous owners can agree without this host until all of them
            # choose the key's owners from a list that includes it.
            switch_time = self._switch_times.get(self._owners.fingerprint)
            return switch_time is not None and created > max(switch_time, self.floor)
        if not self._majority_read and len(self._owners.hosts) > 1:
            return False
        return created > self.floor or self._has_read_enough(created, owners)

    def record_read(self, host: HostName, state: PeerState) -> bool:
        """Record that another host was read in full; return whether the floor fell.

        Recovered registers stay valid even if the other hosts restart later, because
        the floor is lowered only at a time at which all reads are valid.
        """
        self.peer_states[host] = state
        current = self._current_peers()
        needed = majority(len(self._owners.hosts))
        # The settings of an added host name the others, but don't say whether these
        # have it on their lists yet. It reads a majority first, because more than
        # half of the region can't be newly added too.
        self._majority_read |= len(current) + 1 >= needed
        self._is_new_member |= self.floor > 0 and state.reader_since > 0
        if not self._has_read_all():
            return False
        self._all_read = True
        switch_time = max(
            self._window.newest_old_list_key(peer.since) for peer in current
        )
        self._switch_times = {self._owners.fingerprint: switch_time}
        return self._lower_floor(switch_time, max(peer.floor for peer in current))

    def _lower_floor(self, switch_time: int, incomplete: int) -> bool:
        before = self.floor
        if not self._is_new_member:
            self.floor = min(self.floor, incomplete)
        if not self._window.is_in_use(max(self.floor, switch_time)):
            self.floor = 0
            self._is_new_member = False
        return self.floor < before

    def needs_read(self, host: HostName) -> bool:
        """Return whether another host was not read yet, or not since it changed.

        After all hosts were read, one that restarts without memory has nothing new.
        """
        state = self.peer_states.get(host)
        if state is None or state.hosts != self._owners.fingerprint:
            return True
        return not self._all_read and not self._is_current(host)

    def may_know_more(self, host: HostName) -> bool:
        """Return whether a host that was recovering when read may know more now."""
        return self._window.is_in_use(self.peer_states[host].floor)

    def complete_above(self) -> int:
        """Return the key time (ms) above which this replica is complete for readers."""
        return max(self.floor, self._window.newest_old_list_key(self._owners.since))

    def _has_read_all(self) -> bool:
        """Return whether every other host was read in its current incarnation."""
        return all(
            host == self._name or self._is_current(host) for host in self._owners.hosts
        )

    def _is_current(self, host: HostName) -> bool:
        """Return whether a host was read in its current incarnation with our list."""
        state = self.peer_states.get(host)
        return (
            state is not None
            and state.hosts == self._owners.fingerprint
            and state.incarnation >= self.incarnations.get(host, 0)
        )

    def _current_peers(self) -> list[PeerState]:
        return [
            state for host, state in self.peer_states.items() if self._is_current(host)
        ]

    def _has_read_enough(self, created: int, owners: Sequence[HostName]) -> bool:
        read = sum(
            self._is_current(host) and self.peer_states[host].floor < created
            for host in owners
        )
        return read >= len(owners) - majority(len(owners)) + 1
