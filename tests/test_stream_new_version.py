"""Streams taken up while a second software version appears: real processes."""

import functools
import itertools
import os
import random
import signal
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from tests._versioned_site import (
    EVENTS,
    LARGE_CORE,
    LARGE_ENTRIES,
    RESUMED,
    SINGLE,
    VERSIONS,
    VersionedSite,
)
from tests.test_http_server import run
from tests.test_stream_versions_processes import begin, resume

CALLERS = 8
"""Number of callers that begin streams and take them up elsewhere at the same time."""
BEFORE, AFTER = 1.0, 4.0
"""Seconds for which callers run before and after the second version is listed."""
SEEDS = [int(seed) for seed in os.environ.get("STREAM_SEEDS", "2").split(",")]
"""Seeds of the callers; more are given by hand."""
STREAMS = 12
"""Number of streams taken up at suspended hosts."""
SLOTS = 6
"""Number of requests that a target runs at the same time."""
HELD = 5.0
"""Seconds for which a stream keeps its slot, longer than targets take to be listed."""
QUEUED = 0.5
"""Seconds until resumed streams wait for room."""
SUSPENSION = 6.0
"""Seconds for which hosts are suspended while the version is listed."""
LISTED = 2.0
"""Seconds after which all other hosts have heard of a listed version."""
EARLY = 0.1
"""Seconds before the end of a suspension at which streams are taken up there."""
LONG_MS = 12_000
"""Deadline and objective of streams that wait for room."""


class NewVersion(unittest.TestCase):
    """Guards against streams with events of two versions while a version appears."""

    maxDiff = None

    def test_a_stream_is_taken_up_where_its_version_is_not_known_yet(self):
        """Guards against a host that has not heard of the version that began a stream,
        and takes the one that it knows for the only one."""

        async def main(seed):
            rng = random.Random(seed)
            answers, running = [], True

            async def call(site, draw):
                while running:
                    first, second = draw.sample(site.entries, 2)
                    answer = await site.stream(first, SINGLE)
                    began = monotonic()
                    answer.hosts = first, second
                    if answer.versions and not answer.is_whole:
                        first_id = answer.request_id
                        await site.stream(second, SINGLE, answer, resumes=first_id)
                        answer.at = began
                        answers.append(answer)
                    await curio.sleep(draw.uniform(0.01, 0.05))

            site = VersionedSite(
                entries=LARGE_ENTRIES,
                core=LARGE_CORE,
                target_regions=("x", "y", "z"),
                targets=1,
            )
            site.unlisted = {"v2"}
            async with site:
                await site.serve_routes()
                site.break_streams()
                tasks = []
                for _ in range(CALLERS):
                    draw = random.Random(rng.random())
                    tasks.append(await curio.spawn(call, site, draw))
                await curio.sleep(BEFORE)
                listed_at = monotonic()
                site.unlisted = set()
                await curio.sleep(AFTER)
                running = False
                for task in tasks:
                    await task.join()
            self.assertEqual({a.versions[0] for a in answers}, {"v1", "v2"})
            whole = [a for a in answers if a.is_whole]
            mixed = [
                (round(a.at - listed_at, 3), a.hosts, a.versions)
                for a in answers
                if len(set(a.versions)) > 1
            ]
            self.assertEqual(mixed, [])
            numbers = [a.numbers for a in whole]
            self.assertEqual(numbers, [[*range(1, EVENTS + 1)]] * len(whole))

        for seed in SEEDS:
            with self.subTest(seed=seed):
                run(functools.partial(main, seed))

    @params(False, True)
    def test_a_stream_waits_for_room_while_a_version_appears(self, is_killed):
        """Guards against a stream that is resumed while its service has one version,
        waits for room, and gets a target of a version that was listed meanwhile."""

        async def main():
            site = VersionedSite(LONG_MS, objective_ms=LONG_MS, targets=1)
            site.unlisted = {"v2"}
            async with site:
                await site.serve_routes()
                site.break_streams()
                answers = [await begin(site, "entry") for _ in range(SLOTS)]
                site.break_streams(False)
                old = next(t for t in site.targets if t.version == "v1")
                old.hold, served = HELD, len(old.seen)
                tasks = [
                    await curio.spawn(site.stream, "entry-y", RESUMED)
                    for _ in range(SLOTS)
                ]

                async def is_full():
                    return len(old.seen) >= served + SLOTS

                await site.until(is_full)
                if is_killed:
                    site.signal("entry", signal.SIGKILL)
                tasks += [
                    await curio.spawn(resume, site, "entry-2", answer)
                    for answer in answers
                ]
                await curio.sleep(QUEUED)
                self.assertEqual([a.versions for a in answers], [["v1"] * 2] * SLOTS)
                site.unlisted = set()
                for task in tasks:
                    await task.join()
                mixed = [a.versions for a in answers if len(set(a.versions)) > 1]
                self.assertEqual(mixed, [])

        run(main)

    @params(False, True)
    def test_a_suspended_host_takes_up_a_stream(self, is_killed):
        """Guards against a host that resumes after a pause, and takes up streams before
        it has heard of the version that has been listed meanwhile and began them, or
        refuses them for good, as if that version had gone."""

        async def main():
            site = VersionedSite(
                LONG_MS, objective_ms=LONG_MS, entries=LARGE_ENTRIES, core=LARGE_CORE
            )
            site.unlisted = {"v2"}
            async with site:
                await site.serve_routes()
                suspended = ["entry-2", "entry-y", "core", "core-y"]
                for name in suspended:
                    site.signal(name, signal.SIGSTOP)
                stopped_at = monotonic()
                site.unlisted = set()
                await curio.sleep(LISTED)
                site.break_streams()
                answers = [await begin(site, "entry") for _ in range(STREAMS)]
                site.break_streams(False)
                self.assertEqual({a.versions[0] for a in answers}, set(VERSIONS))
                if is_killed:
                    site.signal("entry", signal.SIGKILL)
                left = stopped_at + SUSPENSION - EARLY - monotonic()
                await curio.sleep(max(0.0, left))
                tasks = [
                    await curio.spawn(resume, site, host, answer)
                    for host, answer in zip(
                        itertools.cycle(["entry-2", "entry-y"]), answers, strict=False
                    )
                ]
                await curio.sleep(EARLY)
                for name in suspended:
                    site.signal(name, signal.SIGCONT)
                for task in tasks:
                    await task.join()
                mixed = [a.versions for a in answers if len(set(a.versions)) > 1]
                self.assertEqual(mixed, [])
                refused = [
                    (a.status, a.versions, site.log_lines(a))
                    for a in answers
                    if not a.is_whole
                ]
                self.assertEqual(refused, [])

        run(main)


if __name__ == "__main__":
    unittest.main()
