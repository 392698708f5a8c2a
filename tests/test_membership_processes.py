"""Hosts that shut down, freeze or are partitioned, with real daemons."""

import threading
import unittest

from bronzepoint_emulator.deployment import (
    Client,
    Deployment,
    ReplyStream,
    saphan,
    wait_until,
)

HOSTS = ["bkk-1", "bkk-2", "bkk-3"]
TOKENS = 400
"""Tokens of a streamed answer, which takes several seconds."""
DONE = "[DONE]"


class HostCase(unittest.TestCase):
    proxied = False

    def setUp(self) -> None:
        self.deployment = Deployment(saphan(), proxied=self.proxied)
        self.addCleanup(self.deployment.close)
        self.deployment.start()

    def listed(self, host: str, home: str = "bkk") -> list[str]:
        """Return the hosts that a host's directory lists for a caller."""
        client = self.deployment.client(host, region=home)
        return [row["name"] for row in client.get("/v1/hosts").json()["hosts"]]

    def state(self, host: str, seen_by: str) -> str:
        rows = self.deployment.operator(seen_by).hosts()["hosts"]
        return next(row["state"] for row in rows if row["name"] == host)

    def wait_listed(self, host: str, seen_by: list[str], listed: bool) -> None:
        wait_until(
            lambda: all((host in self.listed(other)) is listed for other in seen_by),
            f"{host} listed by {seen_by}: {listed}",
        )


class Streams:
    """Streamed answers in progress, each read in its own thread."""

    def __init__(self, client: Client, count: int) -> None:
        self.events: list[list[str]] = [[] for _ in range(count)]
        self.errors: list[BaseException] = []
        self._streams = [
            client.chat_stream("clinic", f"long answer {number}", TOKENS)
            for number in range(count)
        ]
        self._threads = [
            threading.Thread(target=self._read, args=pair)
            for pair in zip(self._streams, self.events, strict=True)
        ]
        for thread in self._threads:
            thread.start()

    def _read(self, stream: ReplyStream, events: list[str]) -> None:
        try:
            with stream:
                events.extend(stream.events())
        except BaseException as exc:
            self.errors.append(exc)

    @property
    def running(self) -> bool:
        return all(thread.is_alive() for thread in self._threads)

    def join(self) -> None:
        for thread in self._threads:
            thread.join(60.0)


class TestShutdown(HostCase):
    def test_sigterm_truncates_no_stream_and_the_directory_is_updated_first(
        self,
    ) -> None:
        """A host gets SIGTERM while callers read streamed answers.

        If it stopped accepting while other hosts still list it, callers that just
        queried the directory would get a refused connection. If it closed before the
        streams have ended, answers would be truncated.
        """
        streams = Streams(self.deployment.client("bkk-1"), 3)
        self.deployment.terminate("bkk-1")
        listing_hosts = []

        def refused_while_listed() -> bool:
            """Return whether new connections are refused; record who still lists it."""
            try:
                self.deployment.client("bkk-1").get("/v1/health")
            except OSError:
                listing_hosts.extend(
                    other for other in HOSTS[1:] if "bkk-1" in self.listed(other)
                )
                return True
            return False

        wait_until(refused_while_listed, "bkk-1 takes no new connections")
        self.assertEqual(listing_hosts, [])
        self.assertTrue(streams.running)
        streams.join()
        self.assertEqual(streams.errors, [])
        for events in streams.events:
            self.assertEqual(events[-1], DONE)
            self.assertEqual(len(events), TOKENS + 1)
        self.assertEqual(self.deployment.process("bkk-1").wait(30.0), 0)

    def test_drained_host_refuses_new_callers_once_no_host_lists_it(self) -> None:
        """An operator drains a host that still has streams in progress.

        If it were only removed from the directories, callers that know it would keep
        it busy. If it refused callers earlier, directories would still direct callers
        to a host that refuses them.
        """
        streams = Streams(self.deployment.client("bkk-1"), 1)
        self.deployment.operator("bkk-1").drain("bkk-1")
        client = self.deployment.client("bkk-1")
        refusals = []

        def refused() -> bool:
            reply = client.chat("clinic", "hello", 2)
            if reply.status != 200:
                refusals.append(reply.refusal)
            return bool(refusals)

        wait_until(refused, "bkk-1 refuses new callers")
        self.assertEqual(refusals[0]["kind"], "draining")
        self.assertEqual(refusals[0]["ran"], "no")
        for host in HOSTS:
            self.assertNotIn("bkk-1", self.listed(host))
        self.assertEqual(set(self.listed("bkk-1")[:2]), {"bkk-2", "bkk-3"})
        streams.join()
        self.assertEqual([events[-1] for events in streams.events], [DONE])


class TestFrozen(HostCase):
    proxied = True
    others = ["bkk-1", "bkk-3"]

    def wait_dead(self) -> None:
        wait_until(
            lambda: all(self.state("bkk-2", other) == "dead" for other in self.others),
            "the others consider bkk-2 dead",
        )
        for other in self.others:
            self.assertNotIn("bkk-2", self.listed(other))

    def test_frozen_host_is_not_listed_until_it_resumes(self) -> None:
        """A host stopped by SIGSTOP must not be listed for callers.

        Its connections stay open, so only the missing heartbeats show that it does
        not run.
        """
        self.deployment.freeze("bkk-2")
        self.wait_dead()
        self.deployment.thaw("bkk-2")
        self.wait_listed("bkk-2", self.others, listed=True)

    def test_host_that_resumes_considers_no_host_dead(self) -> None:
        """A host that resumes after a stop must not consider all others dead.

        It is partitioned, so that no message waits for it, and stopped for longer
        than the failure detection timeout. If the stopped time counted, it would list
        only itself and keep all its callers.
        """
        self.deployment.isolate_host("bkk-2")
        self.deployment.freeze("bkk-2")
        self.wait_dead()
        self.deployment.thaw("bkk-2")
        self.assertLessEqual(set(self.others), set(self.listed("bkk-2")))
        self.deployment.heal()
        self.wait_listed("bkk-2", self.others, listed=True)


class TestPartition(HostCase):
    proxied = True

    def test_isolated_region_lists_and_serves_its_own_hosts(self) -> None:
        """A region is partitioned from the others by links that drop all packets.

        The last reports of the other regions are still in memory; without a check of
        their age, callers would be directed to unreachable hosts.
        """
        deployment = self.deployment
        wait_until(
            lambda: any(name.startswith("sgp") for name in self.listed("bkk-1")),
            "the other regions are known",
        )
        deployment.isolate_region("bkk")
        wait_until(
            lambda: all(set(self.listed(host)) == set(HOSTS) for host in HOSTS),
            "hosts of bkk list only each other",
        )
        for host in HOSTS:
            reply = deployment.client(host).chat("clinic", "still here", 2)
            self.assertEqual(reply.status, 200, reply.body)
        deployment.heal()
        wait_until(
            lambda: any(name.startswith("sgp") for name in self.listed("bkk-1")),
            "the other regions are listed again",
        )

    def test_partitioned_host_still_serves_and_rejoins(self) -> None:
        """One host is partitioned from the others of its region in both directions.

        It must still serve its callers, so it must not need the others for that. After
        the partition heals, both sides must reconnect, so they must also contact dead
        hosts. (Here messages sent during the partition arrive after it;
        test_membership_gossip covers the case where they are lost.)
        """
        deployment = self.deployment
        for other in ("bkk-2", "bkk-3"):
            deployment.cut("bkk-1", other)
        wait_until(
            lambda: (
                self.state("bkk-1", "bkk-2") == "dead"
                and self.state("bkk-1", "bkk-3") == "dead"
                and self.state("bkk-2", "bkk-1") == "dead"
                and self.state("bkk-3", "bkk-1") == "dead"
            ),
            "both sides consider each other dead",
        )
        self.assertEqual(self.state("bkk-3", "bkk-2"), "live")
        for host in HOSTS:
            reply = deployment.client(host).chat("clinic", "still here", 2)
            self.assertEqual(reply.status, 200, reply.body)
        deployment.heal()
        self.wait_listed("bkk-1", ["bkk-2", "bkk-3"], listed=True)
        self.wait_listed("bkk-2", ["bkk-1"], listed=True)
