"""The beginning of a cluster: its first set of voters."""

import hashlib

from bronzepoint_schema.generated.agreement import IdentityReply, Voter
from bronzepoint_schema.ids import ClusterId, HostName

from ._errors import InitialiseRefused

_DIGEST_BYTES = 8


def cluster_of(voters: list[Voter]) -> ClusterId:
    """Return the cluster that these voters begin; the same for any order."""
    lines = sorted(f"{voter.host}/{voter.storage}" for voter in voters)
    content = "\n".join(lines).encode()
    return ClusterId(hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest())


def choose_genesis(answers: dict[HostName, IdentityReply | None]) -> list[Voter]:
    """Return the voters to begin with, or those that a cluster began with already.

    Args:
        answers: What each voter of the settings said of itself; None: no answer.

    Raises:
        InitialiseRefused: It can't be told whether there is a cluster already.
    """
    begun = {a.cluster: a for a in answers.values() if a is not None and a.cluster}
    if len(begun) > 1:
        raise InitialiseRefused(
            f"the voters belong to different clusters {sorted(begun)}",
            "empty the data folder of the voters of the one to give up",
        )
    if begun:
        return next(iter(begun.values())).voters
    silent = sorted(host for host, answer in answers.items() if answer is None)
    if silent or not answers:
        # A voter that is only out of reach may hold a catalogue: beginning without it
        # would set a second, empty one beside it.
        raise InitialiseRefused(
            f"no answer from voters {', '.join(silent) or '(none is set)'}",
            "start all voters named in the settings, then run it again",
        )
    return [Voter(host, answers[host].storage) for host in sorted(answers)]
