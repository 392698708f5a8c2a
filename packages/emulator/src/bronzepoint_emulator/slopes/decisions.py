"""``python -m bronzepoint_emulator.slopes.decisions``: cost of decision records.

Two hosts in separate processes record at the same rate and are each other's backup. As
in a large region, each has its own records and the copies of about one other host.
Rows: records per second, and records in the store.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
from msgspec import Struct

from bronzepoint_emulator.slopes._decisions_host import DecisionsFigures, DecisionsPlan
from bronzepoint_emulator.slopes._measured_process import free_addresses

RATES = [0, 5, 11, 22, 44, 88, 176]
"""Records per second."""
HELD = [0, 5_000, 10_000, 20_000, 40_000]
"""Numbers of records in the store."""
SECONDS = 20.0
"""Duration of a measurement at a rate."""
HELD_SECONDS = 2.0
"""Duration of a measurement of a filled store, without new records."""
HOSTS = ["bkk-1", "bkk-2"]
_HOST_MODULE = "bronzepoint_emulator.slopes._decisions_host"


class Row(Struct):
    """Measurement of one host, with the name and value of the varied size."""

    slope: str
    value: int
    figures: DecisionsFigures


def measure(rate: float, held: int, seconds: float) -> DecisionsFigures:
    """Run both hosts and return the figures of the first."""
    addresses = free_addresses(HOSTS)
    with tempfile.TemporaryDirectory() as folder:
        children = []
        for name in HOSTS:
            path = Path(folder) / f"{name}.json"
            plan = DecisionsPlan(name, addresses, rate, seconds, held)
            path.write_bytes(msgspec.json.encode(plan))
            command = [sys.executable, "-m", _HOST_MODULE, str(path)]
            children.append(subprocess.Popen(command, stdout=subprocess.PIPE))
        outputs = [child.communicate()[0] for child in children]
    return msgspec.json.decode(outputs[0], type=DecisionsFigures)


def main() -> None:
    """Print one JSON line for each measurement."""
    sizes = [("rate", rate, float(rate), 0, SECONDS) for rate in RATES]
    sizes += [("held", held, 0.0, held, HELD_SECONDS) for held in HELD]
    for slope, value, rate, held, seconds in sizes:
        row = Row(slope, value, measure(rate, held, seconds))
        print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    main()
