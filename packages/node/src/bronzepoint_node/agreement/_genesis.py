"""The beginning of a cluster: its first set of voters."""

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
Ask = Callable[
    [HostName, IdentityRequest | GenesisRequest], Awaitable[IdentityReply | None]
]


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


async def begin_cluster(hosts: list[HostName], ask: Ask) -> ClusterId:
    """Begin the cluster with the storages of these hosts, all of them blank.

    Running it again, also from two hosts at once, is harmless: the first voters
    follow from the hosts and their storages, and a storage begins one cluster.

    Raises:
        InitialiseRefused: Not every host answered, or they disagree.
    """
    answers: dict[HostName, IdentityReply | None] = {}
    async with curio.TaskGroup() as group:
        tasks = {}
        for host in hosts:
            tasks[host] = await group.spawn(ask, host, IdentityRequest())
        await group.join()
        answers = {host: task.result for host, task in tasks.items()}
    voters = choose_genesis(answers)
    cluster = cluster_of(voters)
    members = {voter.host: voter.storage for voter in voters}
    for host, answer in answers.items():
        if answer is None or answer.cluster or members.get(host) != answer.storage:
            continue
        reply = await ask(host, GenesisRequest(voters))
        if reply is None or reply.cluster != cluster:
            raise InitialiseRefused(
                f"voter {host} did not join cluster {cluster}",
                "check that its [peer …] voter keys name the same voters as here, "
                "then run it again",
            )
    return cluster
