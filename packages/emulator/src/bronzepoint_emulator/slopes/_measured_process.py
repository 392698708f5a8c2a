"""Runs the measured host as a separate process and prints the results."""

import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar

import curio
import msgspec

Figures = TypeVar("Figures")


async def run_host(module: str, plan: Any, figures: type[Figures]) -> Figures:
    """Run a host with its plan as a process and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "plan.json"
        path.write_bytes(msgspec.json.encode(plan))
        command = [sys.executable, "-m", module, str(path)]
        done = await curio.run_in_thread(
            lambda: subprocess.run(command, stdout=subprocess.PIPE, check=True)
        )
    return msgspec.json.decode(done.stdout, type=figures)


def free_addresses(names: list[str]) -> dict[str, str]:
    """Return a free loopback address for each name."""
    held = []
    addresses = {}
    for name in names:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        held.append(sock)
        addresses[name] = f"127.0.0.1:{sock.getsockname()[1]}"
    for sock in held:
        sock.close()
    return addresses


async def print_rows(
    sizes: Iterable[tuple], slopes: list[str], measure: Callable[..., Awaitable[Any]]
) -> None:
    """Measure each size and print its row.

    Args:
        sizes: Arguments of ``measure``; the first is the name of the slope.
        slopes: Slopes to measure; all if empty.
        measure: Function that returns a row.
    """
    for size in sizes:
        if slopes and size[0] not in slopes:
            continue
        print_row(await measure(*size))


def print_row(row: Any) -> None:
    """Print one measurement as a line of JSON."""
    print(msgspec.json.encode(row).decode(), flush=True)
