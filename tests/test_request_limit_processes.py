"""Request limits that targets name, with real processes and stub targets."""

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
        (6, (1.0,), "/stream/a", 30.0),
        (8, (2.0,), "/safe/a", 60.0),
        (6, (1.0, 1.0, 1.0), "/once/a", 30.0),
    )
    def test_all_hosts_together_keep_a_limit(self, entries, limits, path, rate):
        """Guards against requests above the limit that a target names."""
        most, _ = curio.run(play, entries, limits, path, rate)
        for found, limit in zip(most, limits, strict=True):
            self.assertLessEqual(found, allowed(limit), (most, limits))


if __name__ == "__main__":
    unittest.main()
