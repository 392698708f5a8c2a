"""The replicated catalogue with real processes behind the fault proxy."""

import threading
import unittest

import msgspec

from bronzepoint_emulator.deployment import (
    Deployment,
    next_version,
    saphan,
    wait_until,
)
from bronzepoint_schema.generated.catalogue import Limits, OwnerItem

OWNERS = [OwnerItem("saphan", version=1), OwnerItem("guest", version=1)]


def layout():
    """Return Saphan's nine hosts, five of them voters, without targets."""
    return msgspec.structs.replace(
        saphan(), engines=[], services=[], catalogue=lambda *_: list(OWNERS)
    )


class ProcessCase(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment(layout(), proxied=True)
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.first = "bkk-1"

    def status(self, host):
        return self.deployment.operator(host).status()

    def leader(self, *without):
        """Wait until a host outside ``without`` leads, and return it."""
        hosts = [h for h in self.deployment.host_names() if h not in without]

        def find():
            found = [h for h in hosts if self.status(h)["role"] == "leader"]
            return found[0] if len(found) == 1 else None

        return wait_until(find, f"a leader among {hosts}")

    def lease_holder(self, number, former):
        """Wait until another host has a higher fencing number, and return it.

        After the loss of a leader, two leaders may be elected in quick succession.
        """

        def find():
            return next(
                (
                    host
                    for host in self.others(former)
                    if self.status(host)["fencing_number"] > number
                ),
                None,
            )

        return wait_until(find, f"a lease above {number}")

    def voter_state(self, host):
        """Return the state of one voter as reported by the leader."""
        states = self.status(self.leader())["voter_states"]
        return next(state for state in states if state["host"] == host)

    def put(self, name, host="", version=1, rate=1.0):
        item = OwnerItem(name, version=version, limits=Limits(rate=rate))
        return self.deployment.operator(host or self.first).put(item)

    def items(self, host):
        catalogue = self.deployment.operator(host).catalogue()
        return {item["name"] for item in catalogue["items"]}

    def others(self, *without):
        return [h for h in self.deployment.host_names() if h not in without]


class TestLeader(ProcessCase):
    def test_frozen_leader_resumes_without_a_lease(self):
        """Guards against a leader that acts after it was frozen longer than its lease.

        SIGSTOP freezes the leader; another one is elected and accepts a change. The
        first query after SIGCONT reads the former leader's fencing number. The fault
        occurs if the lease is checked some time before the action.
        """
        former = self.leader()
        number = self.status(former)["fencing_number"]
        self.assertGreater(number, 0)
        self.deployment.freeze(former)
        successor = self.lease_holder(number, former)
        revision = self.put("meanwhile", successor)
        self.deployment.thaw(former)
        self.assertEqual(self.status(former)["fencing_number"], 0)
        self.deployment.wait_revision(revision)
        self.assertEqual(self.status(former)["fencing_number"], 0)
        self.lease_holder(number, former)

    def test_isolated_leader_commits_no_change(self):
        """Guards against a partitioned leader that accepts changes that are lost later.

        Its link to operators works; messages on its links to other hosts are dropped.
        """
        former = self.leader()
        self.deployment.isolate_host(former)
        successor = self.leader(former)
        body = self.deployment.operator(former).put_body(OwnerItem("lost", version=1))
        answer = self.deployment.operator(former).try_change(body)
        self.assertGreaterEqual(answer.status, 500)
        revision = self.put("kept", successor)
        self.deployment.wait_revision(revision, self.others(former))
        # A host that can't receive changes within the staleness bound reports it.
        wait_until(
            lambda: not self.status(former)["within_bound"], f"{former} is stale"
        )
        self.assertTrue(self.status(former)["ready"])
        self.deployment.heal()
        self.deployment.wait_revision(revision)
        wait_until(lambda: self.status(former)["within_bound"], f"{former} is current")
        accepted = self.deployment.operator(former).change(body).json()
        self.deployment.wait_revision(accepted["revision"])
        self.assertEqual(accepted["revision"], revision + 1)


class TestDisks(ProcessCase):
    def test_wiped_disk_and_two_hosts_lost_right_after(self):
        """Guards against the loss of accepted changes after a repair.

        A voter's disk is emptied and the voter restarts. As soon as it is a voter
        again, two others are killed. The remaining three of five voters, including the
        repaired one, must hold all accepted changes.
        """
        wiped = next(h for h in ("bkk-2", "sgp-2") if h != self.leader())
        for number in range(20):
            last = self.put(f"owner{number}")
        lost_storage = self.voter_state(wiped)["storage"]
        self.deployment.wipe(wiped)
        last = self.put("during", self.others(wiped)[0])
        self.deployment.restart(wiped)

        def repaired():
            state = self.voter_state(wiped)
            return state["storage"] == state["found"] != lost_storage

        wait_until(repaired, f"{wiped} is a voter again")
        voters = [h.name for h in self.deployment.layout.voters() if h.name != wiped]
        for lost in voters[:2]:
            self.deployment.kill(lost)
        remaining = self.others(*voters[:2])
        accepted = self.put("after", wiped)
        self.assertEqual(accepted, last + 1)
        self.deployment.wait_revision(accepted, remaining)
        self.assertIn("owner7", self.items(wiped))

    def test_killed_processes_answer_a_resend_as_the_first_time(self):
        """All hosts are killed at once; an operator who got no answer resends."""
        operator = self.deployment.operator(self.first)
        body = operator.put_body(OwnerItem("item", version=1))
        first = operator.change(body).json()
        self.deployment.wait_revision(first["revision"])
        for host in self.deployment.host_names():
            self.deployment.kill(host)
        for host in self.deployment.host_names():
            self.deployment.restart(host)
        again = self.deployment.operator("sgp-1").change(body).json()
        self.assertEqual(again, first)
        self.deployment.wait_revision(first["revision"])
        self.assertEqual(self.deployment.revision("cnx-1"), first["revision"])

    def test_restart_after_hundreds_of_changes(self):
        """Guards against a restarted process that serves an outdated view.

        It was down during hundreds of changes.
        """
        stopped = ("cnx-1", "cnx-3", "bkk-3")
        for host in stopped:
            self.deployment.kill(host)
        for number in range(300):
            last = self.put(f"owner{number}")
        self.deployment.wait_revision(last, self.others(*stopped))
        for host in stopped:
            self.deployment.restart(host)
        for host in stopped:

            def first_ready(host=host):
                status = self.status(host)
                return status if status["ready"] else None

            status = wait_until(first_ready, f"{host} serves")
            self.assertGreaterEqual(status["revision"], last)


class TestOperators(ProcessCase):
    def test_concurrent_changes_with_equal_versions(self):
        """Guards against accepting both concurrent changes and losing one of them."""
        answers = {}

        def operate(name, host):
            operator = self.deployment.operator(host, name)
            item = OwnerItem("item", version=1)
            answers[name] = operator.try_change(operator.put_body(item))

        operators = [("anong", "bkk-1"), ("deniz", "sgp-3")]
        threads = [threading.Thread(target=operate, args=args) for args in operators]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        by_status = {answer.status: name for name, answer in answers.items()}
        self.assertEqual(sorted(by_status), [200, 409])
        message = answers[by_status[409]].json()["error"]["message"]
        self.assertIn(by_status[200], message)
        item = next_version(OwnerItem("item", version=1))
        self.deployment.wait_revision(self.deployment.operator().put(item))


class TestIsolatedRegion(ProcessCase):
    def test_host_restarts_in_an_isolated_region(self):
        """Guards against hosts that can't serve after a restart in an isolated region.

        A region that is isolated for an hour would then stop serving, one host after
        another. Restarted hosts must not serve an older view than before either. The
        hosts of cnx restart one after the other: the one with a disk and both without.
        """
        revision = self.put("before")
        self.deployment.wait_revision(revision)
        self.deployment.isolate_region("cnx")
        later = self.put("elsewhere")
        self.deployment.wait_revision(later, ["bkk-3", "sgp-3"])
        for host in ("cnx-2", "cnx-1", "cnx-3"):
            self.deployment.restart(host)
            wait_until(lambda h=host: self.status(h)["ready"], f"{host} serves")
            status = self.status(host)
            self.assertEqual((status["ready"], status["revision"]), (True, revision))
            self.assertIn("before", self.items(host))
            wait_until(lambda h=host: not self.status(h)["within_bound"], "it is stale")
        self.deployment.heal()
        self.deployment.wait_revision(later)

    def test_change_in_an_isolated_region_is_refused(self):
        """Guards against a change that is accepted in a region without a quorum."""
        self.deployment.isolate_region("cnx")
        operator = self.deployment.operator("cnx-2")
        body = operator.put_body(OwnerItem("item", version=1))
        answer = operator.try_change(body)
        self.assertIn(answer.status, (503, 504))
        self.assertEqual(answer.json()["error"]["kind"], "not_leader")
        self.assertNotIn("item", self.items("cnx-2"))
        self.deployment.heal()
        accepted = operator.change(body).json()
        self.deployment.wait_revision(accepted["revision"])
        self.assertIn("item", self.items("cnx-2"))
