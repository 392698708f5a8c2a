"""What a copy remembers, and for which keys it may therefore vote."""

from collections.abc import Sequence
from dataclasses import dataclass

from bronzepoint_node.run_once._keys import KeyWindow, key_time
from bronzepoint_node.run_once._owners import Owners, majority
from bronzepoint_schema.generated.run_once import Identity
from bronzepoint_schema.ids import HostName


@dataclass(frozen=True)
class Heard:
    """What another copy said when this one read its registers.

    Attributes:
        hosts: Fingerprint of its list of the region's hosts.
        since: Unix time (ms) at which it took that list; 0: always.
        reader_since: Unix time (ms) at which it first counted this host; 0: always.
        floor: Keys up to this time (ms) were not fully known to it.
        incarnation: Its incarnation then.
    """

    hosts: int
    since: int
    reader_since: int
    floor: int
    incarnation: int


class Knowledge:
    """Decides whether this copy may vote on a key.

    A copy that lost its memory (no disk, or the data folder is gone) has forgotten
    promises and states. Were it to vote at once, it and a second copy could form a
    majority that knows nothing of a request that ran: the symptom is a second run
    after one restart. So it votes on a key only

    - when the key is younger than anything it can have voted on before, or
    - when it has read enough other owners of the key that every majority which could
      have counted its former votes has a member among them.

    Votes of an earlier incarnation may still be on their way. Incarnations have rising
    numbers, which the others record before they let themselves be read; a
    proposer drops votes of an older incarnation than another voter knows
    (see `Round`).

    Attributes:
        incarnation: Number of this copy's present incarnation.
        floor: Keys up to this time (ms) were forgotten; 0: nothing was.
        seen: Newest incarnation known of each other host.
        heard: What was read from each other host.
    """

    def __init__(self, name: HostName, owners: Owners, window: KeyWindow) -> None:
        self._name = name
        self._owners = owners
        self._window = window
        self.incarnation = 0
        self.floor = 0
        self.seen: dict[HostName, int] = {}
        self.heard: dict[HostName, Heard] = {}
        self._all_read = False
        self._majority_heard = False
        self._newcomer = False
        self._switched: dict[int, int] = {}

    @property
    def recovered(self) -> bool:
        """Whether this copy knows all that the others can tell it."""
        alone = len(self._owners.hosts) == 1
        return self.floor == 0 or self._all_read or alone

    def forget(self, incarnation: int) -> None:
        """Begin an incarnation without memory."""
        self.incarnation = incarnation
        self.floor = self._window.floor()
        self.heard.clear()
        self._all_read = False
        self._newcomer = False
        self._switched.clear()

    def restore(self, identity: Identity) -> None:
        """Go on with the incarnation that the log tells of."""
        self.incarnation = identity.incarnation
        self.floor = identity.floor

    def identity(self) -> Identity:
        """Return what the log must keep of this incarnation."""
        return Identity(
            incarnation=self.incarnation,
            floor=self.floor,
            history=list(self._owners.history),
        )

    def learn_incarnation(self, host: HostName, incarnation: int) -> bool:
        """Record another copy's incarnation; True where it is news."""
        if host == self._name or self.seen.get(host, 0) >= incarnation:
            return False
        self.seen[host] = incarnation
        return True

    def seen_by(self, owners: Sequence[HostName]) -> list[int]:
        """Return the newest incarnation known of each owner."""
        return [
            self.incarnation if host == self._name else self.seen.get(host, 0)
            for host in owners
        ]

    def covers(self, key: bytes, owners: Sequence[HostName]) -> bool:
        """Tell whether this copy may vote on a key."""
        newly_mine = self._owners.newly_mine(key)
        if self.floor == 0 and not newly_mine:
            return True
        made = key_time(key)
        if newly_mine or self._newcomer:
            # The former owners could agree without this host until they all place
            # the key by the list that names it.
            switched = self._switched.get(self._owners.fingerprint)
            return switched is not None and made > max(switched, self.floor)
        if not self._majority_heard and len(self._owners.hosts) > 1:
            return False
        return made > self.floor or self._has_read_enough(made, owners)

    def take(self, host: HostName, heard: Heard) -> bool:
        """Note that another host was read in full; True where the floor fell.

        What this copy has recovered stays known although the others may restart
        later: the floor falls once, at a moment at which all reads were valid.
        """
        self.heard[host] = heard
        agreeing = self._agreeing()
        needed = majority(len(self._owners.hosts))
        # The settings of a host that was added name the others, but not whether they
        # count it yet. More than half of the region can't all be as new as it is.
        self._majority_heard |= len(agreeing) + 1 >= needed
        self._newcomer |= self.floor > 0 and heard.reader_since > 0
        if not self._has_read_all():
            return False
        self._all_read = True
        switched = max(self._window.switched(said.since) for said in agreeing)
        self._switched = {self._owners.fingerprint: switched}
        return self._lower_floor(switched, max(said.floor for said in agreeing))

    def _lower_floor(self, switched: int, unknown: int) -> bool:
        before = self.floor
        if not self._newcomer:
            self.floor = min(self.floor, unknown)
        if not self._window.in_use(max(self.floor, switched)):
            self.floor = 0
            self._newcomer = False
        return self.floor < before

    def must_read(self, host: HostName) -> bool:
        """Tell whether another host was not read yet, or not since it changed.

        Once all were read, one that restarts without memory has nothing to tell.
        """
        heard = self.heard.get(host)
        if heard is None or heard.hosts != self._owners.fingerprint:
            return True
        return not self._all_read and not self._agrees(host)

    def may_gain(self, host: HostName) -> bool:
        """Tell whether another host, itself without memory then, may know more now."""
        return self._window.in_use(self.heard[host].floor)

    def readable_floor(self) -> int:
        """Return the key time (ms) above which a reader may rely on this copy."""
        return max(self.floor, self._window.switched(self._owners.since))

    def _has_read_all(self) -> bool:
        """Tell whether every other host was read in its present incarnation."""
        return all(
            host == self._name or self._agrees(host) for host in self._owners.hosts
        )

    def _agrees(self, host: HostName) -> bool:
        """Tell whether a host was read in its present incarnation and has our list."""
        heard = self.heard.get(host)
        return (
            heard is not None
            and heard.hosts == self._owners.fingerprint
            and heard.incarnation >= self.seen.get(host, 0)
        )

    def _agreeing(self) -> list[Heard]:
        return [heard for host, heard in self.heard.items() if self._agrees(host)]

    def _has_read_enough(self, made: int, owners: Sequence[HostName]) -> bool:
        read = sum(
            self._agrees(host) and self.heard[host].floor < made for host in owners
        )
        return read >= len(owners) - majority(len(owners)) + 1
