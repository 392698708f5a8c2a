"""The subsystems that exchange control messages."""

from enum import IntEnum


class Area(IntEnum):
    """Identifies a subsystem in messages; numbers must never be reused."""

    AGREEMENT = 1
    MEMBERSHIP = 2
    RUN_ONCE = 3
    DECISIONS = 4
    LIMITS = 5
    ORDERS = 6
    CATALOGUE = 7
    FLEET = 8
    TARGET_LOADS = 9
    SCHEDULING = 10
    QUARANTINE = 11
    QUOTA = 12
    STREAM_ORIGINS = 13
    FORWARDED_RUNS = 14
    ROOM_LEASES = 15
