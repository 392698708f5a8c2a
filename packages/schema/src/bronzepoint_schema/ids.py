"""Distinct types of the identifiers used in several packages."""

from typing import NewType

HostName = NewType("HostName", str)
RegionName = NewType("RegionName", str)
DataCenterName = NewType("DataCenterName", str)
EntryName = NewType("EntryName", str)
TargetName = NewType("TargetName", str)
OwnerName = NewType("OwnerName", str)
CallerName = NewType("CallerName", str)
OperatorName = NewType("OperatorName", str)
RequestId = NewType("RequestId", str)
"""``<host name>.<uuid7 hex>``: the host that received the request and a unique part."""
IdempotencyKey = NewType("IdempotencyKey", str)
"""A UUIDv7 chosen by the caller; its timestamp limits how long it may be resent."""
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)
"""Position of a catalogue change in the replicated log; 0: the empty catalogue."""
ClusterId = NewType("ClusterId", str)
"""Digest of the initial set of voters; hosts of different clusters don't interact."""
StorageId = NewType("StorageId", str)
"""Random identifier of a voter's data folder, created when the folder was empty."""
Term = NewType("Term", int)
Fingerprint = NewType("Fingerprint", str)
"""Digest of host name, path, caller and body; the same if a request is repeated."""
FencingNumber = NewType("FencingNumber", int)
OrganisationName = NewType("OrganisationName", str)
KeyDigest = NewType("KeyDigest", str)
"""Digest of an API key; the key itself stays in the catalogue document."""

__all__ = [
    "CallerName",
    "ChangeId",
    "ClusterId",
    "DataCenterName",
    "EntryName",
    "FencingNumber",
    "Fingerprint",
    "HostName",
    "IdempotencyKey",
    "KeyDigest",
    "OperatorName",
    "OrganisationName",
    "OwnerName",
    "RegionName",
    "RequestId",
    "Revision",
    "StorageId",
    "TargetName",
    "Term",
]
