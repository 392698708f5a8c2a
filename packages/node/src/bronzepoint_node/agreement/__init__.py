"""The replicated catalogue: consensus between voters, leases and repair."""

from ._agreement import Agreement, voter_hosts
from ._errors import (
    AgreementError,
    ChangeExpired,
    Conflict,
    InitialiseRefused,
    Invalid,
    NoQuorum,
    NoRoom,
    NotLeader,
    Overtaken,
    SettingsUnsafe,
    VoterWithoutDisk,
)
from ._log_bounds import LogBounds, default_log_bytes
from ._seeded_agreement import SeededAgreement
from ._status import AgreementStatus, Role, VoterStatus

__all__ = [
    "Agreement",
    "AgreementError",
    "AgreementStatus",
    "ChangeExpired",
    "Conflict",
    "InitialiseRefused",
    "Invalid",
    "LogBounds",
    "NoQuorum",
    "NoRoom",
    "NotLeader",
    "Overtaken",
    "Role",
    "SeededAgreement",
    "SettingsUnsafe",
    "VoterStatus",
    "VoterWithoutDisk",
    "default_log_bytes",
    "voter_hosts",
]
