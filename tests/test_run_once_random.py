"""At most one dispatch per key under random faults of the network and the hosts."""

import random
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import curio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bronzepoint_node.run_once import (
    Claimed,
    Done,
    Mismatch,
    StoredAnswer,
    Unavailable,
)
from tests._run_once_network import Region
from tests.test_run_once_claims import claim, key_at

HOSTS = "abcd"
DISKS = "ab"
ADDED = "e"
KEYS = 2
HOST = st.sampled_from(HOSTS)
ENDING = st.sampled_from(["finish", "finish", "lose", "release", "leave", "stop"])
SEND = st.tuples(st.just("send"), HOST, st.integers(0, KEYS - 1), ENDING)
RESTART = st.tuples(st.just("restart"), HOST)
WIPE = st.tuples(st.just("wipe"), HOST)
CUT = st.tuples(st.just("cut"), HOST, HOST)
PAUSE = st.tuples(st.just("pause"), st.integers(5, 60))
OTHERS = st.sampled_from([("heal",), ("add",), ("renew", 0), ("renew", 1)])
STEP = st.one_of(SEND, SEND, SEND, WIPE, RESTART, CUT, OTHERS, PAUSE, PAUSE)


class History:
    """Runs at the target, and answers that callers received."""

    def __init__(self):
        self.ran: dict[str, list[str]] = {}
        self.received: list[tuple[str, str]] = []

    def dispatch(self, key, host):
        self.ran.setdefault(key, []).append(host)
        return StoredAnswer(status=200, body=f"{key} by {host}".encode())

    def violations(self):
        """Return keys that ran twice, and answers that no run produced."""
        twice = [key for key, hosts in self.ran.items() if len(hosts) > 1]
        produced = {f"{key} by {hosts[0]}" for key, hosts in self.ran.items()}
        invented = [body for key, body in self.received if body not in produced]
        return twice + invented


def random_delays(seed):
    """Lose 10 % of the messages, duplicate 10 %, and delay all by up to 5 ms."""
    dice = random.Random(seed)

    def delays(*_):
        copies = dice.choices([0, 1, 2], [1, 8, 1])[0]
        return [dice.uniform(0, 0.005) for _ in range(copies)]

    return delays


async def send(region, history, host, key, ending):
    """Handle one request as an entry host does, up to the given ending."""
    run_once = region.hosts[host]
    result = await claim(region, host, key)
    match result:
        case Done(answer=answer):
            history.received.append((key, answer.body.decode()))
        case Claimed(token=token):
            if ending == "stop":
                region.clocks[host].elapsed_shift += 10
            if not await run_once.confirm(token):
                return
            # A released request certainly did not run; all others may have run.
            if ending == "release":
                await run_once.release(token)
                return
            answer = history.dispatch(key, host)
            if ending == "finish":
                await run_once.finish(token, answer)
            if ending == "lose":
                await run_once.finish(token, None)
        case Mismatch():
            raise AssertionError("no other request has this key")


async def run_steps(region, history, keys, steps):
    tasks: dict[str, list[curio.Task]] = {host: [] for host in HOSTS}
    used = list(keys)
    for step in steps:
        match step:
            case ("send", host, number, ending):
                work = send, region, history, host, keys[number], ending
                tasks[host].append(await curio.spawn(*work, daemon=True))
            case ("restart" | "wipe" as fault, host):
                # All requests of a failed host are lost. Only the target's runs and
                # the host's disk, if it has one, remain.
                region.network.peers[host].closed = True
                for task in tasks[host]:
                    await task.cancel()
                tasks[host] = []
                await region.kill(host)
                if fault == "wipe":
                    shutil.rmtree(region.folder / host, ignore_errors=True)
                await region.boot(host)
            case ("renew", number):
                keys[number] = key_at()
                used.append(keys[number])
            case ("add",) if ADDED not in region.hosts:
                await region.boot(ADDED, list(HOSTS + ADDED))
            case ("cut", one, other) if one != other:
                region.network.blocked_links.add(frozenset((one, other)))
            case ("heal",):
                region.network.blocked_links.clear()
            case ("pause", ticks):
                await curio.sleep(ticks / 1000)
    region.network.blocked_links.clear()
    for host in region.hosts:
        for key in used:
            await send(region, history, host, key, "finish")
    for task in sum(tasks.values(), []):
        await task.join()


class RandomFaultsTest(unittest.TestCase):
    @mock.patch("bronzepoint_node.run_once._recovery.INTERVAL", 0.01)
    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        seed=st.integers(0, 2**32),
        steps=st.lists(STEP, min_size=10, max_size=40),
    )
    def test_no_key_runs_twice(self, seed, steps):
        """Messages are lost, duplicated and reordered; hosts fail, are wiped or added.

        For every sequence chosen by hypothesis, the target must not run two requests
        of one key, no caller may get an answer that the target did not produce, and
        a new key must be served once all faults have ended.
        """
        history = History()

        async def main(folder):
            disks = {"folder": Path(folder), "disks": DISKS}
            async with Region(HOSTS, timeout=0.05, **disks) as region:
                keys = [key_at() for _ in range(KEYS)]
                region.network.delays = random_delays(seed)
                await run_steps(region, history, keys, steps)
                region.network.delays = lambda *_: [0.0]

                async def served():
                    result = await claim(region, "a", key_at())
                    return not isinstance(result, Unavailable)

                await region.wait(served)

        with tempfile.TemporaryDirectory() as folder:
            curio.run(main, folder)
        self.assertEqual(history.violations(), [])
