"""Placement of requests that may crash their target, and of the others meanwhile."""

import unittest

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement import LocalPlacement, NoLocalTarget
from bronzepoint_node.placement._tracked_target import ISOLATION_TIME
from bronzepoint_node.quarantine import RequestFingerprints, WatchedRun
from tests._scheduling_region import Region


async def find(host, suspect):
    """Find a target as a sender does; a suspect counts as on trial there."""
    request = msgspec.structs.replace(host.make_request(), suspect=suspect)
    found = await host.client.find(request, 0.0)
    if isinstance(found, LocalPlacement):
        found.target.begin("id", request.prompt, 0, monotonic())
        if suspect:
            fingerprints = RequestFingerprints("q", "*q")
            run = WatchedRun(fingerprints, monotonic(), suspect=True)
            found.target.trials.add(run)
            return found.target.info.incarnation, run
        return found.target.info.incarnation, None
    return None, None


class TestSuspects(unittest.TestCase):
    @params((3,), (8,))
    def test_suspect_goes_alone_to_the_least_loaded_target(self, hosts):
        """Guards against a suspect that crashes the busiest target.

        Two suspects at one target could not be distinguished after a crash. Covers
        hosts that report to each other directly, and hosts with a scheduler.
        """

        async def main():
            async with Region(hosts, 3) as region:
                first, second, *_ = region.hosts.values()
                for host in (first, second):
                    for number, target in enumerate(("t0", "t1")):
                        tracked = host.table.get(target)
                        for run in range(2 + number):
                            tracked.begin(f"{run}", None, 0, monotonic())
                await curio.sleep(0.3)
                trials = []
                for host in (first, second, first, second):
                    trials.append((await find(host, suspect=True))[0])
                    await curio.sleep(0.1)
                return trials

        trials = curio.run(main)
        self.assertEqual(trials[0], "t2")
        self.assertEqual(sorted(trials[:3]), ["t0", "t1", "t2"])
        # A suspect is not refused because no target is free of other suspects.
        self.assertIsNotNone(trials[3])

    @params((3,), (8,))
    def test_trial_by_permit_waits_for_the_end_of_others(self, hosts):
        """Guards against two trials at one target, whose crash would prove nothing.

        Other requests needn't wait behind it.
        """

        async def main():
            async with Region(hosts, 1) as region:
                first, second, *_ = region.hosts.values()
                _, run = await find(first, suspect=True)
                await curio.sleep(0.3)
                request = second.make_request(suspect=True, apart=True)
                waiting = await curio.spawn(second.client.find, request, 3.0)
                await curio.sleep(0.1)
                other = await second.client.find(second.make_request(), 0.5)
                is_waiting = not waiting.terminated
                run.first_event_at = monotonic() - 10.0
                return is_waiting, other, await waiting.join()

        is_waiting, other, found = curio.run(main)
        self.assertTrue(is_waiting)
        self.assertIsInstance(other, LocalPlacement)
        self.assertIsInstance(found, LocalPlacement)

    def test_other_requests_avoid_the_target_of_a_suspect(self):
        """Guards against a crash that fails more requests than necessary."""

        async def main():
            async with Region(8, 3) as region:
                first, second, *_ = region.hosts.values()
                isolated, run = await find(first, suspect=True)
                await curio.sleep(0.1)
                during = {(await find(second, suspect=False))[0] for _ in range(12)}
                run.first_event_at = monotonic() - 10.0
                await curio.sleep(ISOLATION_TIME + 0.2)
                after = {(await find(second, suspect=False))[0] for _ in range(40)}
                return isolated, during, after

        isolated, during, after = curio.run(main)
        self.assertNotIn(isolated, during)
        self.assertIn(isolated, after)

    def test_the_only_target_serves_others_too(self):
        async def main():
            async with Region(3, 1) as region:
                (first, *_) = region.hosts.values()
                await find(first, suspect=True)
                request = first.make_request()
                return first.placer.local_selector.choose(request, monotonic())

        self.assertNotIsInstance(curio.run(main), NoLocalTarget)


if __name__ == "__main__":
    unittest.main()
