"""A request that crashes every target that runs it, with real host processes."""

import itertools
import json
import signal
import unittest

import curio
from nose2.tools import params

from tests._command_line import run_command
from tests._crashing_site import (
    MAX_ARRIVALS,
    POISON,
    QUEUE_DELAY,
    SETTLE_TIME,
    SLOW_STREAM,
    STREAM_EVENTS,
    Callers,
    CrashingSite,
)
from tests._platform_site import MAX_START_WAIT

PROPAGATION_TIME = 1.0
"""Seconds after a crash within which it has been reported to all hosts."""
COUNTING_TIME = 4.0
"""Seconds for which arrivals are counted after ``SETTLE_TIME``."""
STREAM_COUNT = 12
"""Number of streams in progress when the first target crashes."""
MANY_HOSTS = {
    **{f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in (1, 2, 3)},
    **{f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in range(1, 9)},
}
"""Enough entry hosts for a core host to choose the targets for all of them."""


async def run_callers(site, path, *more):
    """Let callers send requests until after the third crash; return the callers."""
    callers = Callers(site, path)
    await callers.run(SETTLE_TIME + COUNTING_TIME + 4.0, *more)
    return callers


async def crash_three_targets(site, callers, path):
    """Send the harmful request to each host in turn until three targets crashed."""
    for address in itertools.cycle(site.addresses()):
        if len(site.crashes()) >= 3:
            return
        await callers.ask(address, path, POISON)


async def wait_until_blocked(site, callers, path):
    """Repeat the request until the hosts block it.

    On a busy machine the crashes may be reported late. Then none of them counts as
    alone, and three aren't enough to block the request.
    """

    async def is_held():
        if all(
            any(line.get("standing") == "held" for line in site.lines(name))
            for name in ("entry-1", "core-1")
        ):
            return True
        if not any(target.is_down for target in site.targets):
            # A request to a target that hasn't restarted yet can't cause a crash.
            await curio.sleep(PROPAGATION_TIME)
            await callers.ask(site.addresses()[0], path, POISON)
        return False

    await site.until(is_held, MAX_START_WAIT)


async def ask_without_scheduler(site, callers, path):
    """Kill two core hosts; return each entry host's answer to the harmful request."""
    for name in ("core-1", "core-2"):
        site.signal(name, signal.SIGKILL)
    await curio.sleep(SETTLE_TIME)
    return [await callers.ask(address, path, POISON) for address in site.addresses()]


class TestQueryOfDeath(unittest.TestCase):
    @params(
        # path of the request, whether targets keep their id when they restart
        ("/safe/death", False),
        ("/stream/death", False),
        ("/once/death", True),
    )
    def test_request_that_crashed_three_targets_reaches_few_more(self, path, keeps_id):
        """Guards against a repeated request that crashes one target after another."""

        sites = []

        async def main():
            async with CrashingSite(keeps_id) as site:
                sites.append(site)
                callers = await run_callers(site, path)
                third = site.crashes()[2]
                return len(site.late_arrivals()), callers.plain_success_rate(
                    third + SETTLE_TIME
                )

        late, plain_success_rate = curio.run(main)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertEqual(plain_success_rate, 1.0, sites[0].summary)

    def test_caller_uses_many_addresses(self):
        """Guards against a caller that uses another address for each request."""

        sites = []

        async def main():
            async with CrashingSite() as site:
                sites.append(site)
                sources = [f"127.0.1.{n}" for n in range(1, 60)]
                callers = Callers(site, "/safe/death", sources)
                await callers.run(SETTLE_TIME + COUNTING_TIME + 4.0)
                third = site.crashes()[2]
                late = [at for at in site.arrivals() if at > third + PROPAGATION_TIME]
                return len(late), callers.plain_success_rate(third + SETTLE_TIME)

        late, plain_success_rate = curio.run(main)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertEqual(plain_success_rate, 1.0, sites[0].summary)

    def test_targets_are_busy_with_resumed_streams(self):
        """Guards against many suspects that hide the harmful request among them."""

        sites = []

        async def main():
            async with CrashingSite(queue=QUEUE_DELAY, targets=5) as site:
                sites.append(site)
                callers = Callers(site, "/once/death")
                await callers.run(
                    SETTLE_TIME + COUNTING_TIME + 6.0, callers.send_streams
                )
                await curio.sleep(6.0)
                third = site.crashes()[2]
                return len(site.late_arrivals()), callers.stream_success_rate(
                    third + SETTLE_TIME
                )

        late, complete = curio.run(main)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertEqual(complete, 1.0, sites[0].summary)

    def test_crashes_count_across_regions(self):
        """Guards against regions that compute different fingerprints of a request."""

        sites = []

        async def main():
            async with CrashingSite(elsewhere=("entry-2", "entry-3")) as site:
                sites.append(site)
                callers = await run_callers(site, "/safe/death")
                third = site.crashes()[2]
                answers = [
                    await callers.ask(address, "/safe/death", POISON)
                    for address in site.addresses()
                ]
                late = [at for at in site.arrivals() if at > third + PROPAGATION_TIME]
                plain_success_rate = callers.plain_success_rate(third + SETTLE_TIME)
                return len(late), plain_success_rate, [a.status for a in answers]

        late, plain_success_rate, statuses = curio.run(main)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertEqual(plain_success_rate, 1.0, sites[0].summary)
        self.assertEqual(statuses, [503] * 3)

    def test_records_outlast_the_scheduler(self):
        """Guards against crash records that are lost with single core hosts."""

        async def main():
            async with CrashingSite(hosts=MANY_HOSTS) as site:
                callers = Callers(site, "/safe/death")
                await crash_three_targets(site, callers, "/safe/death")
                await wait_until_blocked(site, callers, "/safe/death")
                before = len(site.arrivals())
                answers = await ask_without_scheduler(site, callers, "/safe/death")
                return len(site.arrivals()) - before, [a.status for a in answers]

        arrivals, statuses = curio.run(main)
        self.assertEqual((arrivals, statuses), (0, [503] * 8))

    def test_crashes_just_before_the_scheduler_is_lost(self):
        """Guards against a second trial because a core host that permitted one is lost.

        The third target may crash before the first crashes are known. Then the request
        isn't blocked yet, and one trial is permitted.
        """

        async def main():
            async with CrashingSite(hosts=MANY_HOSTS) as site:
                callers = Callers(site, "/safe/death")
                await crash_three_targets(site, callers, "/safe/death")
                before = len(site.crashes())
                answers = await ask_without_scheduler(site, callers, "/safe/death")
                runs = len(site.crashes()) - before
                return len(site.late_arrivals()), runs, [a.status for a in answers]

        late, runs, statuses = curio.run(main)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertIn(statuses.count(502), (0, 1))
        self.assertEqual(statuses.count(503), 8 - statuses.count(502))
        self.assertEqual(runs, statuses.count(502))

    @params(
        ("entry-2",), ("core-1", "core-2", "core-3", *(f"entry-{n}" for n in (1, 2, 3)))
    )
    def test_records_outlast_restarts(self, *killed):
        """Guards against crash records that are lost when host processes restart."""

        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/safe/death")
                await crash_three_targets(site, callers, "/safe/death")
                await wait_until_blocked(site, callers, "/safe/death")
                # Wait until the core hosts have saved the latest records to disk.
                await curio.sleep(2.0)
                for name in killed:
                    site.signal(name, signal.SIGKILL)
                for name in killed:
                    site.processes[name].wait()
                    site.start(name, first=False)
                await curio.sleep(SETTLE_TIME)
                await site.until(site._is_ready)
                before = len(site.arrivals())
                answers = [
                    await callers.ask(address, "/safe/death", POISON)
                    for address in site.addresses()
                ]
                return len(site.arrivals()) - before, {a.status for a in answers}

        arrivals, statuses = curio.run(main)
        self.assertEqual((arrivals, statuses), (0, {503}))

    def test_blocked_caller_gets_a_long_retry_after(self):
        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/once/death")
                await crash_three_targets(site, callers, "/once/death")
                await wait_until_blocked(site, callers, "/once/death")
                (address, *_) = site.addresses()
                answer = await callers.ask(address, "/once/death", POISON)
                lines = [
                    line
                    for line in site.lines("entry-1")
                    if line.get("outcome") == "refused_held"
                ]
                return answer, lines

        answer, lines = curio.run(main)
        self.assertEqual(getattr(answer, "status", answer), 503)
        self.assertGreater(float(answer.headers["retry-after"]), 60.0)
        self.assertEqual(lines[-1]["sends"], 0)


class TestOperators(unittest.TestCase):
    def test_request_is_listed_and_released(self):
        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/safe/death")
                await crash_three_targets(site, callers, "/safe/death")
                hosts = f"127.0.0.11:{site.control}"
                await wait_until_blocked(site, callers, "/safe/death")
                listed = await curio.run_in_thread(_command, hosts, "list", "--json")
                held = json.loads(listed.out)["requests"][0]
                arguments = ("release", held["fingerprint"])
                released = await curio.run_in_thread(_command, hosts, *arguments)
                again = await curio.run_in_thread(_command, hosts, *arguments)
                await curio.sleep(1.5)
                before = len(site.arrivals())
                (address, *_) = site.addresses()
                await callers.ask(address, "/safe/death", POISON)
                return held, released, again, len(site.arrivals()) - before

        held, released, again, arrivals = curio.run(main)
        self.assertEqual((held["standing"], held["service"]), ("held", "s"))
        self.assertEqual(released.status, 0, released.err)
        self.assertIn("is released", released.out)
        self.assertEqual(again.status, 1)
        self.assertGreater(arrivals, 0)


def _command(hosts, *arguments):
    return run_command("quarantine", *arguments, hosts=hosts)


class TestUnrelatedStreams(unittest.TestCase):
    def test_streams_interrupted_by_the_crashes_are_served(self):
        """Guards against blaming streams that ran on each target that crashed."""

        sites = []

        async def main():
            async with CrashingSite() as site:
                sites.append(site)
                callers = Callers(site, "/stream/death")
                answers = []

                async def stream(number, address):
                    path = f"/stream/batch-{number}"
                    answers.append(
                        await callers.ask(address, path, SLOW_STREAM, wait=20.0)
                    )

                async def start_streams():
                    for number, address in zip(
                        range(STREAM_COUNT),
                        itertools.cycle(site.addresses()),
                        strict=False,
                    ):
                        await curio.spawn(stream, number, address, daemon=True)

                await start_streams()
                await curio.sleep(0.5)
                await crash_three_targets(site, callers, "/stream/death")
                await curio.sleep(8.0)
                first = len(answers)
                await start_streams()
                await curio.sleep(6.0)
                return first, answers[first:]

        first, again = curio.run(main)
        self.assertEqual(first, STREAM_COUNT)
        self.assertEqual(
            [answer.status for answer in again], [200] * STREAM_COUNT, sites[0].summary
        )
        self.assertEqual(
            {answer.body.count(b"id: ") for answer in again}, {STREAM_EVENTS}
        )


if __name__ == "__main__":
    unittest.main()
