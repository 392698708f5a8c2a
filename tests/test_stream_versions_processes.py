"""Streams keep to the software version that began them: real processes."""

import functools
import itertools
import signal
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.stream_origins._keepers import keepers
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from tests._versioned_site import (
    CUT_AFTER,
    EVENTS,
    RESUMED,
    SINGLE,
    VERSIONS,
    VersionedSite,
)
from tests.test_http_server import run

STREAMS = 12
"""Number of streams of each case."""
LONG_DEADLINE_MS = 30_000
SUSPENSION = 1.5
"""Seconds for which the hosts that know are suspended, longer than a first question
waits."""
RELEASE_AGE = 0.3
"""Seconds between a change of the listed versions and the kill of the hosts."""
READY = EntryState.ready
AT_ONCE = 1.5
"""Seconds within which a stream that can't go on is refused; its deadline is at 4."""


class StreamVersions(unittest.TestCase):
    """Guards against streams that hold events of two software versions."""

    maxDiff = None

    def assert_one_version(self, answers):
        mixed = [a.versions for a in answers if len(set(a.versions)) > 1]
        self.assertEqual(mixed, [])

    def assert_whole(self, site, answers):
        broken = [a for a in answers if not a.is_whole or len(a.versions) != EVENTS]
        found = [(a.status, a.versions, site.log_lines(a)) for a in broken]
        self.assertEqual(found, [])

    def test_the_system_resumes_a_stream_at_its_version(self):
        async def main():
            async with VersionedSite() as site:
                await site.serve_routes()
                site.break_streams()
                for host in ("entry", "entry-y"):
                    answers = [await site.stream(host, RESUMED) for _ in range(STREAMS)]
                    self.assert_one_version(answers)
                    self.assert_whole(site, answers)
                    # Both versions began some of them.
                    self.assertEqual({a.versions[0] for a in answers}, set(VERSIONS))

        run(main)

    def test_a_caller_resumes_a_stream_of_a_killed_host(self):
        async def main(first, second):
            async with VersionedSite() as site:
                await site.serve_routes()
                site.break_streams()
                answers = [await begin(site, first) for _ in range(STREAMS)]
                site.signal(first, signal.SIGKILL)
                site.processes[first].wait()
                for answer in answers:
                    await resume(site, second, answer)
                self.assert_one_version(answers)
                self.assert_whole(site, answers)

        for hosts in (("entry", "entry-2"), ("entry", "entry-y"), ("entry-y", "entry")):
            run(functools.partial(main, *hosts))

    def test_a_caller_resumes_a_stream_whose_keepers_are_late(self):
        """Guards against a final refusal while the hosts that know the version are
        suspended for a moment."""

        async def main():
            async with VersionedSite(LONG_DEADLINE_MS) as site:
                await site.serve_routes()
                site.break_streams()
                first = "entry-y"
                answers = [await begin(site, first) for _ in range(STREAMS)]
                asked = _no_keeper(site, first)
                late = [name for name in site.entries if name != asked]
                for name in late:
                    site.signal(name, signal.SIGSTOP)
                tasks = [
                    await curio.spawn(resume, site, asked, answer) for answer in answers
                ]
                await curio.sleep(SUSPENSION)
                for name in late:
                    site.signal(name, signal.SIGCONT)
                for task in tasks:
                    await task.join()
                self.assert_one_version(answers)
                self.assert_whole(site, answers)

        run(main)

    def test_no_stream_goes_on_at_another_version_after_a_full_restart(self):
        async def main():
            async with VersionedSite() as site:
                await site.serve_routes()
                site.break_streams()
                answers = [
                    await begin(site, host)
                    for host in itertools.islice(itertools.cycle(site.entries), STREAMS)
                ]
                site.break_streams(False)
                for host in site.entries:
                    site.signal(host, signal.SIGKILL)
                for host in site.entries:
                    site.processes[host].wait()
                    site.start(host, first=False)

                async def is_served():
                    found = [await site.stream(h, RESUMED) for h in site.entries]
                    return all(answer.is_whole for answer in found)

                await site.until(is_served)
                for answer, host in zip(
                    answers, itertools.cycle(site.entries), strict=False
                ):
                    began = monotonic()
                    await resume(site, host, answer)
                    self.assertLess(monotonic() - began, AT_ONCE)
                    self.assertEqual(answer.status, 200 if answer.is_whole else 503)
                self.assert_one_version(answers)

        run(main)

    @params(*itertools.product(("both", "leaving", "gone"), (False, True)))
    def test_no_stream_is_joined_after_a_kill_during_a_release(self, old, with_core):
        """Guards against a restart that forgets the version that has just left."""

        async def main():
            async with VersionedSite() as site:
                await site.serve_routes()
                site.break_streams()
                hosts = itertools.cycle(site.entries)
                answers = [await begin(site, next(hosts)) for _ in range(STREAMS)]
                site.break_streams(False)
                if old == "leaving":
                    site.leave("v1")
                elif old == "gone":
                    site.remove("v1")
                await curio.sleep(RELEASE_AGE)
                killed = [*site.entries, "core"] if with_core else site.entries
                for host in killed:
                    site.signal(host, signal.SIGKILL)
                for host in killed:
                    site.processes[host].wait()
                    site.start(host, first=False)

                async def is_served():
                    found = [await site.stream(h, RESUMED) for h in site.entries]
                    return all(answer.is_whole for answer in found)

                await site.until(is_served)
                for answer in answers:
                    await resume(site, next(hosts), answer)
                    self.assertEqual(answer.status, 200 if answer.is_whole else 503)
                self.assert_one_version(answers)

        run(main)

    def test_a_stream_whose_version_has_gone_is_refused_at_once(self):
        async def main():
            async with VersionedSite() as site:
                await site.serve_routes()
                site.break_streams()
                answers = [await begin(site, "entry") for _ in range(STREAMS)]
                site.break_streams(False)
                site.leave("v1")

                async def has_left():
                    found = [await site.stream(h, RESUMED) for h in site.entries * 4]
                    return all(a.versions == ["v2"] * EVENTS for a in found)

                await site.until(has_left)
                for answer in answers:
                    began = monotonic()
                    await resume(site, "entry-2", answer)
                    self.assertLess(monotonic() - began, AT_ONCE)
                    is_gone = answer.versions[0] == "v1"
                    self.assertEqual(answer.status, 503 if is_gone else 200)
                    self.assertEqual(answer.is_whole, not is_gone)
                self.assert_one_version(answers)

        run(main)


def _no_keeper(site, first):
    """Return a host beside the targets that isn't told of the streams of a host."""
    hosts = [
        EntryHost(site.hosts[n][1], site.regions.get(n, "x"), "", "", "", READY, 0)
        for n in site.entries
    ]
    told = keepers(hosts, site.regions[first], site.hosts[first][1])
    return next(
        name
        for name in site.entries
        if name not in site.regions and site.hosts[name][1] not in told
    )


async def begin(site, host):
    """Begin a stream that breaks off, and return what came of it."""
    answer = await site.stream(host, SINGLE)
    if len(answer.versions) != CUT_AFTER:
        raise AssertionError(f"{answer.versions}, status {answer.status}")
    answer.first_id = answer.request_id
    return answer


async def resume(site, host, answer):
    await site.stream(host, SINGLE, answer, resumes=answer.first_id)


if __name__ == "__main__":
    unittest.main()
