"""Dispatch of messages from other hosts to a voter."""

from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.agreement import (
    AgreementMessage,
    AppendRequest,
    GenesisRequest,
    IdentityRequest,
    ProposeRequest,
    SnapshotInstall,
    VoteRequest,
)
from bronzepoint_schema.ids import HostName

from ._voter import Voter


async def answer_voter_call(
    voter: Voter, peers: Peers, peer: HostName, message: AgreementMessage
) -> AgreementMessage | None:
    """Pass a message to the voter; return its reply, or None if there is none."""
    match message:
        case VoteRequest() | AppendRequest() | SnapshotInstall():
            return await voter.handle(peer, message)
        case ProposeRequest():
            reply = await voter.submit(message, peer)
            if reply is not None:
                peers.post(peer, Area.AGREEMENT, reply)
        case IdentityRequest():
            return voter.identity()
        case GenesisRequest():
            return await voter.initialise_cluster(message)
    return None
