"""One request that crashes each target that begins it, before real processes."""

import itertools
import json
import signal
import unittest

import curio
from nose2.tools import params

from tests._command_line import run_command
from tests._crashing_site import (
    CONTACT,
    MOST_ARRIVALS,
    POISON,
    QUEUE,
    SLOW,
    WHOLE,
    Callers,
    CrashingSite,
)
from tests._platform_site import MAX_START_WAIT

KNOWN = 1.0
"""Seconds after a crash in which all hosts have heard of it."""
AFTER = 4.0
"""Seconds for which arrivals are counted once each of them counts."""
BATCH = 12
"""Streams that run when the first target crashes."""
MANY = {
    **{f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in (1, 2, 3)},
    **{f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in range(1, 9)},
}
"""So many entry hosts that a host of the core chooses targets for all."""


async def poison_until_late(site, path, *more):
    """Let the callers ask until some time after the third crash; return them."""
    callers = Callers(site, path)
    await callers.run(CONTACT + AFTER + 4.0, *more)
    return callers


async def crash_three(site, callers, path):
    """Ask at host after host until three targets have crashed."""
    for address in itertools.cycle(site.addresses()):
        if len(site.crashes()) >= 3:
            return
        await callers.ask(address, path, POISON)


async def until_held(site, callers, path):
    """Ask on until the hosts hold the request back.

    On a busy machine they hear of the crashes late: then none counts as alone, and
    three don't decide yet.
    """

    async def is_held():
        if all(
            any(line.get("standing") == "held" for line in site.lines(name))
            for name in ("entry-1", "core-1")
        ):
            return True
        if not any(target.is_down for target in site.targets):
            # A try that meets a target that isn't back yet says nothing.
            await curio.sleep(KNOWN)
            await callers.ask(site.addresses()[0], path, POISON)
        return False

    await site.until(is_held, MAX_START_WAIT)


class TestQueryOfDeath(unittest.TestCase):
    @params(
        # path of the request, targets start again under their id
        ("/safe/death", False),
        ("/stream/death", False),
        ("/once/death", True),
    )
    def test_request_that_crashed_three_targets_reaches_few_more(self, path, keeps_id):
        """Guards against a request that comes again and crashes target after target."""

        async def main():
            async with CrashingSite(keeps_id) as site:
                callers = await poison_until_late(site, path)
                third = site.crashes()[2]
                return len(site.late_arrivals()), callers.served(third + CONTACT)

        late, served = curio.run(main)
        self.assertLessEqual(late, MOST_ARRIVALS)
        self.assertEqual(served, 1.0)

    def test_its_caller_comes_from_other_addresses(self):
        """Guards against a caller whose address is another one each time."""

        async def main():
            async with CrashingSite() as site:
                sources = [f"127.0.1.{n}" for n in range(1, 60)]
                callers = Callers(site, "/safe/death", sources)
                await callers.run(CONTACT + AFTER + 4.0)
                third = site.crashes()[2]
                known = [at for at in site.arrivals() if at > third + KNOWN]
                return len(known), callers.served(third + CONTACT)

        known, served = curio.run(main)
        self.assertLessEqual(known, MOST_ARRIVALS)
        self.assertEqual(served, 1.0)

    def test_targets_are_busy_with_streams_that_go_on_elsewhere(self):
        """Guards against many suspects that hide the one among them."""

        async def main():
            async with CrashingSite(queue=QUEUE, targets=5) as site:
                callers = Callers(site, "/once/death")
                await callers.run(CONTACT + AFTER + 6.0, callers.send_streams)
                await curio.sleep(6.0)
                third = site.crashes()[2]
                return len(site.late_arrivals()), callers.streamed(third + CONTACT)

        late, whole = curio.run(main)
        self.assertLessEqual(late, MOST_ARRIVALS)
        self.assertEqual(whole, 1.0)

    def test_what_another_region_runs_counts_with_it(self):
        """Guards against a request that each region counts under another name."""

        async def main():
            async with CrashingSite(elsewhere=("entry-2", "entry-3")) as site:
                callers = await poison_until_late(site, "/safe/death")
                third = site.crashes()[2]
                answers = [
                    await callers.ask(address, "/safe/death", POISON)
                    for address in site.addresses()
                ]
                known = [at for at in site.arrivals() if at > third + KNOWN]
                served = callers.served(third + CONTACT)
                return len(known), served, [a.status for a in answers]

        known, served, statuses = curio.run(main)
        self.assertLessEqual(known, MOST_ARRIVALS)
        self.assertEqual(served, 1.0)
        self.assertEqual(statuses, [503] * 3)

    def test_hosts_know_it_without_their_scheduler(self):
        """Guards against knowledge of a request that ends with one host of the core."""

        async def main():
            async with CrashingSite(hosts=MANY) as site:
                callers = Callers(site, "/safe/death")
                await crash_three(site, callers, "/safe/death")
                for name in ("core-1", "core-2"):
                    site.signal(name, signal.SIGKILL)
                await curio.sleep(CONTACT)
                answers = [
                    await callers.ask(address, "/safe/death", POISON)
                    for address in site.addresses()
                ]
                return len(site.late_arrivals()), [a.status for a in answers]

        late, statuses = curio.run(main)
        self.assertLessEqual(late, MOST_ARRIVALS)
        self.assertEqual(statuses, [503] * 8)

    @params(
        ("entry-2",), ("core-1", "core-2", "core-3", *(f"entry-{n}" for n in (1, 2, 3)))
    )
    def test_started_hosts_know_it(self, *killed):
        """Guards against hosts that forget a request with their processes."""

        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/safe/death")
                await crash_three(site, callers, "/safe/death")
                await until_held(site, callers, "/safe/death")
                # What was just seen reaches the disks of the core meanwhile.
                await curio.sleep(2.0)
                for name in killed:
                    site.signal(name, signal.SIGKILL)
                for name in killed:
                    site.processes[name].wait()
                    site.start(name, first=False)
                await curio.sleep(CONTACT)
                await site.until(site._is_ready)
                before = len(site.arrivals())
                answers = [
                    await callers.ask(address, "/safe/death", POISON)
                    for address in site.addresses()
                ]
                return len(site.arrivals()) - before, {a.status for a in answers}

        arrivals, statuses = curio.run(main)
        self.assertEqual((arrivals, statuses), (0, {503}))

    def test_caller_is_told_not_to_come_back_in_a_moment(self):
        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/once/death")
                await crash_three(site, callers, "/once/death")
                await until_held(site, callers, "/once/death")
                (address, *_) = site.addresses()
                answer = await callers.ask(address, "/once/death", POISON)
                lines = [
                    line
                    for line in site.lines("entry-1")
                    if line.get("outcome") == "refused_held"
                ]
                return answer, lines[-1]

        answer, line = curio.run(main)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 60.0)
        self.assertEqual(line["sends"], 0)


class TestOperators(unittest.TestCase):
    def test_request_is_listed_and_released(self):
        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/safe/death")
                await crash_three(site, callers, "/safe/death")
                hosts = f"127.0.0.11:{site.control}"
                await until_held(site, callers, "/safe/death")
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


class TestBystanders(unittest.TestCase):
    def test_streams_beside_the_crashes_go_on_being_served(self):
        """Guards against blame for a batch that ran at each target that crashed."""

        async def main():
            async with CrashingSite() as site:
                callers = Callers(site, "/stream/death")
                found = []

                async def stream(number, address):
                    path = f"/stream/batch-{number}"
                    found.append(await callers.ask(address, path, SLOW, wait=20.0))

                async def whole_batch():
                    for number, address in zip(
                        range(BATCH), itertools.cycle(site.addresses()), strict=False
                    ):
                        await curio.spawn(stream, number, address, daemon=True)

                await whole_batch()
                await curio.sleep(0.5)
                await crash_three(site, callers, "/stream/death")
                await curio.sleep(8.0)
                first = len(found)
                await whole_batch()
                await curio.sleep(6.0)
                return first, found[first:]

        first, again = curio.run(main)
        self.assertEqual(first, BATCH)
        self.assertEqual([answer.status for answer in again], [200] * BATCH)
        self.assertEqual({answer.body.count(b"id: ") for answer in again}, {WHOLE})


if __name__ == "__main__":
    unittest.main()
