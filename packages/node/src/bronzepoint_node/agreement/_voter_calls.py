"""What a voter answers to the messages of other hosts."""

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
    """Hand a message to the voter; return its reply, None where there is none."""
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
            return await voter.begin_cluster(message)
    return None
