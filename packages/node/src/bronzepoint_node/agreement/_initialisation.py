"""Initialisation of a cluster with its first set of voters."""

import hashlib
from collections.abc import Awaitable, Callable

import curio

from bronzepoint_schema.generated.agreement import (
    GenesisRequest,
    IdentityReply,
    IdentityRequest,
    Voter,
)
from bronzepoint_schema.ids import ClusterId, HostName

from ._errors import InitialiseRefused

_DIGEST_BYTES = 8
"""Bytes of a cluster id, which has two hexadecimal digits for each."""
Query = Callable[
    [HostName, IdentityRequest | GenesisRequest], Awaitable[IdentityReply | None]
]


def derive_cluster_id(voters: list[Voter]) -> ClusterId:
    """Return the id of the cluster with these initial voters, in any order."""
    lines = sorted(f"{voter.host}/{voter.storage}" for voter in voters)
    content = "\n".join(lines).encode()
    return ClusterId(hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest())


def select_initial_voters(answers: dict[HostName, IdentityReply | None]) -> list[Voter]:
    """Return the initial voters, those of the existing cluster if there is one.

    Args:
        answers: Identity that each expected voter reported; None if it didn't answer.

    Raises:
        InitialiseRefused: It is unknown whether a cluster exists already.
    """
    existing = {a.cluster: a for a in answers.values() if a is not None and a.cluster}
    if len(existing) > 1:
        raise InitialiseRefused(
            f"the voters belong to different clusters {sorted(existing)}",
            "empty the data folder of the voters of the one to give up",
        )
    if existing:
        return next(iter(existing.values())).voters
    unanswered = sorted(host for host, answer in answers.items() if answer is None)
    if unanswered or not answers:
        # An unreachable voter may hold a catalogue. Initialising without it would
        # create a second, empty one.
        raise InitialiseRefused(
            f"no answer from voters {', '.join(unanswered) or '(none is set)'}",
            "start all voters named in the settings, then run it again",
        )
    return [Voter(host, answers[host].storage) for host in sorted(answers)]


async def initialise_cluster(hosts: list[HostName], query: Query) -> ClusterId:
    """Initialise the cluster with the storages of these hosts, all of them blank.

    Running it again, also from two hosts at once, is harmless: the initial voters
    are determined by the hosts and their storage ids, and each storage joins only
    one cluster.

    Raises:
        InitialiseRefused: Not every host answered, or they disagree.
    """
    answers: dict[HostName, IdentityReply | None] = {}
    async with curio.TaskGroup() as group:
        tasks = {}
        for host in hosts:
            tasks[host] = await group.spawn(query, host, IdentityRequest())
        await group.join()
        answers = {host: task.result for host, task in tasks.items()}
    voters = select_initial_voters(answers)
    cluster = derive_cluster_id(voters)
    members = {voter.host: voter.storage for voter in voters}
    for host, answer in answers.items():
        if answer is None or answer.cluster or members.get(host) != answer.storage:
            continue
        reply = await query(host, GenesisRequest(voters))
        if reply is None or reply.cluster != cluster:
            raise InitialiseRefused(
                f"voter {host} did not join cluster {cluster}",
                "check that its [peer …] voter keys name the same voters as here, "
                "then run it again",
            )
    return cluster
