"""Deployments of real processes on loopback, for tests, the demo and experiments.

The API is blocking: a test starts a deployment, injects faults and polls its state.
"""

from bronzepoint_emulator.deployment._client import (
    Client,
    Reply,
    ReplyStream,
    chat_body,
    new_key,
    new_nonce,
)
from bronzepoint_emulator.deployment._deployment import Deployment, next_version
from bronzepoint_emulator.deployment._errors import (
    DeploymentError,
    NotReached,
    ProcessEnded,
    RequestFailed,
)
from bronzepoint_emulator.deployment._layout import (
    Addresses,
    CallerSpec,
    HostSpec,
    Layout,
    OperatorSpec,
)
from bronzepoint_emulator.deployment._links import Links, link_name
from bronzepoint_emulator.deployment._operator import Operator, item_kind
from bronzepoint_emulator.deployment._ports import PortBlock
from bronzepoint_emulator.deployment._process import ManagedProcess, spawn
from bronzepoint_emulator.deployment._samples import karadeniz, saphan
from bronzepoint_emulator.deployment._targets import Targets
from bronzepoint_emulator.deployment._waiting import wait_until

__all__ = [
    "Addresses",
    "CallerSpec",
    "Client",
    "Deployment",
    "DeploymentError",
    "HostSpec",
    "Layout",
    "Links",
    "ManagedProcess",
    "NotReached",
    "Operator",
    "OperatorSpec",
    "PortBlock",
    "ProcessEnded",
    "Reply",
    "ReplyStream",
    "RequestFailed",
    "Targets",
    "chat_body",
    "item_kind",
    "karadeniz",
    "link_name",
    "new_key",
    "new_nonce",
    "next_version",
    "saphan",
    "spawn",
    "wait_until",
]
