"""Faults of a stub target, changed while it runs."""

from typing import Any

import msgspec

from bronzepoint_schema.generated.emulator import TargetFaults


def merge_faults(faults: TargetFaults, body: bytes) -> TargetFaults:
    """Return the faults, updated with the keys of a JSON body.

    Raises:
        msgspec.ValidationError: A key's value has the wrong type.
    """
    changes: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    return msgspec.convert(msgspec.to_builtins(faults) | changes, type=TargetFaults)
