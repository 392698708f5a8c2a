"""Retries of entry hosts as real processes, before targets that reset requests."""

import signal
import unittest
from collections import Counter

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._failing_site import RATIO, SLACK, FailingSite, worst_use
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

PACE = 0.04
"""Seconds between two requests to one host."""
SPACING = 2.5
"""Seconds between two kills of all entry hosts."""
KILLS = 3
WARM_UP = 8.0
"""Seconds before targets fail, and again before some of them stand still."""
SUSPENSION = 20.0
"""Seconds for which targets stand still."""
AFTER_SUSPENSION = 8.0
"""Seconds for which callers go on afterwards."""
SERVED = 3
"""One of so many requests is served, or the targets would be ejected."""
HOSTS = {
    "core": ("core", "127.0.0.2"),
    **{f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in (1, 2, 3)},
}
ENTRIES = [name for name, (role, _) in HOSTS.items() if role == "entry"]


class ResettingTarget(StandInTarget):
    """Stub target that resets the connections of most requests.

    Attributes:
        arrivals: Monotonic time and id of each request that arrived.
    """

    def __init__(self, name, ip, port):
        super().__init__(name, ip, port)
        self.arrivals = []

    async def _answer(self, exchange):
        request_id = exchange.request.headers.get("x-bronzepoint-request-id")
        if request_id is None:
            await super()._answer(exchange)
            return
        self.arrivals.append((monotonic(), request_id))
        if len(self.arrivals) % SERVED == 0:
            await super()._answer(exchange)
            return
        await exchange.abort()


class ResettingSite(PlatformSite):
    """Three entry hosts before resetting targets, and the callers' requests.

    Attributes:
        sent: Monotonic times at which requests were sent.
    """

    def __init__(self):
        super().__init__(hosts=HOSTS, targets=4)
        self.bounds = f"retry_ratio = {RATIO}\nretry_slack = {SLACK}"
        self.sent = []

    def make_target(self, name, ip, port):
        return ResettingTarget(name, ip, port)

    async def call_constantly(self, name):
        """Send a request to a host at each interval, until cancelled."""
        while True:
            await curio.spawn(self._call, name, len(self.sent), daemon=True)
            await curio.sleep(PACE)

    async def _call(self, name, number):
        self.sent.append(monotonic())
        headers = {
            "X-Bronzepoint-Request-Id": f"{name}-{number}",
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        address = f"{HOSTS[name][1]}:{self.front}"
        try:
            await self.call("POST", "/safe/a", b"", address, headers)
        except HttpError:
            # The host is being restarted.
            return

    async def restart_entries(self):
        """Kill all entry hosts and start them again."""
        for name in ENTRIES:
            self.signal(name, signal.SIGKILL)
        for name in ENTRIES:
            self.processes[name].wait()
            self.start(name, first=False)

    def retries(self):
        """Return the times of all arrivals beyond the first of their request."""
        seen = Counter()
        times = []
        for at, request_id in sorted(a for t in self.targets for a in t.arrivals):
            seen[request_id] += 1
            if seen[request_id] > 1:
                times.append(at)
        return times


async def ask_until_both_hosts_tried(site, path):
    """Send a request; return whether both hosts of the other region were tried."""
    await site.ask(path, f"id-{len(site.lines('entry-y'))}")
    requests = [line for line in site.lines("entry-y") if line["message"] == "request"]
    tries = "".join(note for line in requests for note in line["tries"])
    return all(HOSTS[name][1] in tries for name in ("entry-1", "entry-2"))


def arrivals_by_request(site):
    """Return how often each request reached a target."""
    ids = (
        r.headers.get("x-bronzepoint-request-id") for t in site.targets for r in t.seen
    )
    return Counter(request_id for request_id in ids if request_id)


class TestKilledInSeries(unittest.TestCase):
    def test_hosts_killed_in_series_share_one_retry_budget(self):
        """Guards against a whole budget for each process of a host that is killed."""

        async def main():
            async with ResettingSite() as site:
                callers = [
                    await curio.spawn(site.call_constantly, name) for name in ENTRIES
                ]
                for _ in range(KILLS):
                    await curio.sleep(SPACING)
                    await site.restart_entries()
                await curio.sleep(SPACING)
                for caller in callers:
                    await caller.cancel()
                return site.retries(), site.sent

        retries, sent = curio.run(main)
        self.assertGreater(len(retries), 0)
        self.assertLessEqual(worst_use(retries, sent).share, 1.0)


class TestSuspendedTargets(unittest.TestCase):
    def test_requests_that_are_read_late_stay_within_the_retry_budget(self):
        """Guards against retries that arrive beside those of a later window, at targets
        that stood still."""

        async def main():
            async with FailingSite() as site:
                for name in site.entries:
                    await curio.spawn(site.call_constantly, name, 10.0, daemon=True)
                await curio.sleep(WARM_UP)
                site.actions, site.failing = ("full", "reset"), 0.7
                await curio.sleep(WARM_UP)
                site.suspended_targets = set(site.targets[1:])
                await curio.sleep(SUSPENSION)
                site.suspended_targets = set()
                await curio.sleep(AFTER_SUSPENSION)
                return site.budget_use()

        use = curio.run(main)
        self.assertGreater(use.retries, 0)
        self.assertLessEqual(use.share, 1.0)


class TestForwarded(unittest.TestCase):
    @params("/safe/a", "/once/a", "/stream/a")
    def test_a_region_that_refuses_reports_that_a_target_was_reached(self, path):
        """Guards against retries that no host is charged for.

        A target of another region rejects the request, and its host refuses it. The
        forwarding host would send it on to the next host as if no target had seen it.
        """

        async def main():
            site = PlatformSite(
                hosts={
                    "core": HOSTS["core"],
                    "entry-y": ("entry", "127.0.0.3"),
                    "entry-1": HOSTS["entry-1"],
                    "entry-2": HOSTS["entry-2"],
                }
            )
            site.regions = {"entry-y": "y"}
            site.bounds = "retry_ratio = 0\nretry_slack = 0"
            async with site:
                for target in site.targets:
                    target.script = ["full"] * 1000
                await site.until(lambda: ask_until_both_hosts_tried(site, path))
                return arrivals_by_request(site)

        arrivals = curio.run(main)
        self.assertEqual(set(arrivals.values()), {1})


if __name__ == "__main__":
    unittest.main()
