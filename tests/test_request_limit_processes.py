"""Request limits that targets name, with real processes and stub targets."""

import signal
import unittest

import curio
from nose2.tools import params

from tests._limited_site import SETTLE_TIME, WINDOW, LimitedSite, allowed


async def play(entries, limits, path, rate):
    """Return the most requests in a window at each limited target, and the site.

    Args:
        entries: Number of entry hosts.
        limits: Requests per second that the first targets limit themselves to.
        path: Path of the requests.
        rate: Requests per second.
    """
    async with LimitedSite(entries) as site:
        callers = await curio.spawn(site.call_constantly, path, rate)
        await curio.sleep(1.0)
        limited = site.targets[: len(limits)]
        for target, limit in zip(limited, limits, strict=True):
            target.limit = limit
        await curio.sleep(SETTLE_TIME + WINDOW + 1.0)
        await callers.cancel()
        return [target.most_in_window() for target in limited], site


class TestLimitIsKept(unittest.TestCase):
    @params(
        # entry hosts, limits of the first targets, path, requests a second
        (2, (1.0,), "/safe/a", 20.0),
        (6, (1.0,), "/safe/a", 30.0),
        (6, (1.0,), "/stream/a", 30.0),
        (8, (2.0,), "/safe/a", 60.0),
        (6, (1.0, 1.0, 1.0), "/once/a", 30.0),
        (8, (0.3, 4.0), "/safe/a", 60.0),
    )
    def test_all_hosts_together_keep_a_limit(self, entries, limits, path, rate):
        """Guards against requests above the limit that a target names."""
        most, _ = curio.run(play, entries, limits, path, rate)
        for found, limit in zip(most, limits, strict=True):
            self.assertLessEqual(found, allowed(limit), (most, limits))


class TestLimitIsKeptThroughFailures(unittest.TestCase):
    @params(
        # entry hosts, host that is killed, whether it is started again
        (8, "core", False),
        (8, "core", True),
        (6, "entry-1", True),
    )
    def test_a_limit_is_kept_after_a_kill(self, entries, killed, restarted):
        """Guards against hosts that forget a limit, or the scheduler that kept it."""

        async def main():
            async with LimitedSite(entries) as site:
                callers = await curio.spawn(site.call_constantly, "/safe/a", 40.0)
                await curio.sleep(1.0)
                site.targets[0].limit = 1.0
                await curio.sleep(SETTLE_TIME)
                site.signal(killed, signal.SIGKILL)
                site.processes[killed].wait()
                if restarted:
                    site.start(killed, first=False)
                await curio.sleep(2 * WINDOW)
                await callers.cancel()
                return site.targets[0].most_in_window()

        self.assertLessEqual(curio.run(main), allowed(1.0))


class TestEndOfLimit(unittest.TestCase):
    @params(6, 8)
    def test_a_target_without_its_limit_gets_its_share_again(self, entries):
        """Guards against a target that stays unused because next to nothing is sent
        there that could show the end of its limit."""

        async def main():
            async with LimitedSite(entries) as site:
                callers = await curio.spawn(site.call_constantly, "/safe/a", 40.0)
                limited = site.targets[0]
                limited.limit = 0.3
                await curio.sleep(SETTLE_TIME)
                limited.limit = None
                before = len(limited.arrivals)
                await site.until(_has_arrivals(limited, before + 40))
                await callers.cancel()

        curio.run(main)


def _has_arrivals(target, count):
    async def is_reached():
        return len(target.arrivals) >= count

    return is_reached


if __name__ == "__main__":
    unittest.main()
