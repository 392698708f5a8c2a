"""Tests of leaving, failing and returning targets with daemons and stub engines."""

import unittest

import msgspec

from bronzepoint_emulator.deployment import Deployment, next_version, saphan, wait_until
from bronzepoint_schema.generated.platform import ListedState

HOSTS = ["bkk-1", "bkk-2", "bkk-3"]
ENGINE = "bkk-engine-1"
SIBLING = "bkk-engine-2"
SERVICE = "bkk-phrases"
REPORT_LAG_SECONDS = 3600.0
"""Lag of an engine's reports in one test; with it none arrives during the test."""


class TargetCase(unittest.TestCase):
    """One deployment for all tests of a class; each test restores its state."""

    @classmethod
    def setUpClass(cls) -> None:
        layout = saphan()
        # The hosts have just started: without a slack, answers allow their retries.
        layout.settings["policy"] = {"retry_share": "20"}
        cls.deployment = Deployment(layout)
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()

    def states(self, target: str) -> set[str]:
        """Return the states of a target on the hosts of the region."""
        rows = [
            row
            for host in HOSTS
            for row in self.deployment.operator(host).targets()["targets"]
        ]
        return {row["state"] for row in rows if row["name"] == target}

    def wait_state(self, target: str, state: str) -> None:
        wait_until(lambda: self.states(target) == {state}, f"{target} is {state}")

    def wait_list_polls(self, times: int) -> None:
        """Wait until every host has read the platform's list a number of times."""

        def polls(host: str) -> int:
            counters = self.deployment.operator(host).counters()["counters"]
            return counters["targets.list_polls"]

        wanted = {host: polls(host) + times for host in HOSTS}
        wait_until(
            lambda: all(polls(host) >= count for host, count in wanted.items()),
            "every host has read the list",
        )

    def send_requests(self, times: int = 4) -> None:
        """Send requests through every host; every request must be answered."""
        for number in range(times):
            for host in HOSTS:
                prompt = f"question {number} through {host}"
                reply = self.deployment.client(host).chat("clinic", prompt, 2)
                self.assertEqual(reply.status, 200, reply.body)

    def run_count(self, target: str) -> int:
        return sum(self.deployment.targets.counts(target).requests.values())

    def assert_gets_no_requests(self, target: str) -> None:
        before = self.run_count(target)
        self.send_requests()
        self.assertEqual(self.run_count(target), before)


class TestLeaving(TargetCase):
    """One source reports that a target is leaving while the other sources lag.

    The load reports are late, or the host list still shows the target as live. If a
    host weighed the sources or used the one read last, requests would be sent to a
    target that is shutting down.
    """

    def test_by_operator(self) -> None:
        deployment = self.deployment
        names = ("phrasebook", "clinic", "tour-notes")
        entries = [e for e in deployment.catalogue() if e.name in names]
        for leaving in (True, False):
            for number, entry in enumerate(entries):
                targets = [
                    msgspec.structs.replace(t, leaving=leaving and t.name == ENGINE)
                    for t in entry.targets
                ]
                entry = msgspec.structs.replace(entry, targets=targets)
                entries[number] = next_version(entry)
                deployment.operator().put(entries[number])
            self.wait_state(ENGINE, "leaving" if leaving else "ready")
            if leaving:
                self.assert_gets_no_requests(ENGINE)

    def test_by_host_list(self) -> None:
        self.deployment.targets.list_as(ENGINE, ListedState.leaving)
        self.wait_state(ENGINE, "leaving")
        self.assert_gets_no_requests(ENGINE)
        self.deployment.targets.list_as(ENGINE, ListedState.live)
        self.wait_state(ENGINE, "ready")

    def test_by_own_reports(self) -> None:
        self.deployment.set_faults(ENGINE, leaving=True)
        self.wait_state(ENGINE, "leaving")
        self.assert_gets_no_requests(ENGINE)
        self.deployment.set_faults(ENGINE, leaving=False)
        self.wait_state(ENGINE, "ready")

    def test_by_one_answer_while_reports_are_late(self) -> None:
        self.deployment.set_faults(ENGINE, leaving=True, load_lag=REPORT_LAG_SECONDS)
        self.addCleanup(
            self.deployment.set_faults, ENGINE, leaving=False, load_lag=-1.0
        )

        def leaving_after_an_answer() -> bool:
            self.send_requests(times=1)
            return "leaving" in self.states(ENGINE)

        wait_until(
            leaving_after_an_answer, f"an answer of {ENGINE} said that it leaves"
        )
        self.wait_state(ENGINE, "leaving")
        self.assert_gets_no_requests(ENGINE)
        self.assertEqual(self.states(ENGINE), {"leaving"})

    def test_stale_list_does_not_cancel_the_notice_of_a_service(self) -> None:
        self.deployment.set_faults(SERVICE, leaving=True)
        client = self.deployment.client("bkk-2")
        client.call_service("phrases", "GET", "/lookup")
        self.wait_state(SERVICE, "leaving")
        reply = client.call_service("phrases", "GET", "/lookup")
        self.assertEqual(reply.refusal["kind"], "no_target")
        self.assertEqual(reply.refusal["ran"], "no")
        self.wait_list_polls(times=2)
        self.assertEqual(self.states(SERVICE), {"leaving"})
        # The list shows it as leaving and then live, as when the platform replaces it.
        self.deployment.set_faults(SERVICE, leaving=False)
        self.deployment.targets.list_as(SERVICE, ListedState.leaving)
        wait_until(self.listed_everywhere, "every host has read it in the list")
        self.deployment.targets.list_as(SERVICE, ListedState.live)
        self.wait_state(SERVICE, "ready")

    def listed_everywhere(self) -> bool:
        """Return whether every host has read in the list that the service leaves."""
        rows = [
            row
            for host in HOSTS
            for row in self.deployment.operator(host).targets()["targets"]
        ]
        sources_by_host = [row["leaving_by"] for row in rows if row["name"] == SERVICE]
        return all("host_list" in sources for sources in sources_by_host)


class TestFailing(TargetCase):
    def test_dead_engine_is_excluded_and_its_requests_answered(self) -> None:
        """A dead engine gets no requests although the catalogue still lists it.

        Its address refuses or closes connections, and only these failures show that
        the process has ended. Without ejection one request in two would fail.
        """
        self.send_requests(times=1)
        self.deployment.set_faults(ENGINE, down=True)
        self.addCleanup(self.deployment.set_faults, ENGINE, down=False)

        def excluded() -> bool:
            self.send_requests(times=1)
            return self.states(ENGINE) <= {"ejected", "unknown"}

        wait_until(excluded, f"{ENGINE} is excluded")
        self.deployment.set_faults(ENGINE, down=False)

        def used_again() -> bool:
            self.send_requests(times=1)
            return self.states(ENGINE) == {"ready"}

        wait_until(used_again, f"{ENGINE} is used again")
