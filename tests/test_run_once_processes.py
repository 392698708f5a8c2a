"""At-most-once execution with real processes: killed, frozen, wiped, partitioned."""

import threading
import unittest

import msgspec

from bronzepoint_emulator.deployment import (
    Deployment,
    link_name,
    new_key,
    new_nonce,
    wait_until,
)
from bronzepoint_schema.generated.emulator import LinkFault
from tests import _golden_site

REGION = ["bkk-1", "bkk-2", "bkk-3"]
SERVICE = "bkk-steady"
ENTRY = "notes"
SLOW = 400.0
"""Factor on the service's 5 ms; a call then takes 2 s."""
STUCK = 1e6
"""Factor on the service's 5 ms; a call then does not end during the test."""
VOTE_DELAY = 3.0
"""Seconds within which the test must freeze a host after its claim was stored."""


class Call:
    """One non-idempotent call and its resends, with the same key and nonce."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._key = new_key()
        self._nonce = new_nonce()

    def send(self, host, timeout=30.0):
        client = self._deployment.client(host, owner="saphan", region="bkk")
        client.timeout = timeout
        body = {"nonce": self._nonce}
        return client.call_service(ENTRY, "POST", "/saved", body, self._key)

    def send_in_background(self, host):
        """Send from a thread, because the answer may never arrive."""
        replies = []

        def work():
            try:
                replies.append(self.send(host))
            except OSError:
                return

        threading.Thread(target=work, daemon=True).start()
        return replies

    def runs(self):
        return sum(self._deployment.nonce_runs(self._nonce).values())

    def wait_running(self):
        wait_until(lambda: self.runs() == 1, "the call runs at the service")

    def wait_refused(self, host, kind):
        def refused():
            reply = self.send(host)
            return reply.status != 200 and reply.refusal["kind"] == kind

        wait_until(refused, f"{host} refuses with {kind}")

    def wait_answered(self, host):
        def answered():
            reply = self.send(host)
            return reply if reply.status == 200 else None

        return wait_until(answered, f"{host} has the answer")


def target_state(deployment, host):
    """Return the state of the service as reported by a host."""
    targets = deployment.operator(host).targets()["targets"]
    return next(
        (target["state"] for target in targets if target["name"] == SERVICE), None
    )


def counter(deployment, host, name):
    return deployment.operator(host).counters()["counters"].get(name, 0)


class ProcessTest(unittest.TestCase):
    def deploy(self, proxied=False, **run_once):
        layout = _golden_site.layout()
        texts = {name: str(value) for name, value in run_once.items()}
        layout = msgspec.structs.replace(
            layout, settings={**layout.settings, "run_once": texts}
        )
        deployment = Deployment(layout, proxied=proxied)
        self.addCleanup(deployment.close)
        deployment.start()
        self.wait_replicas(deployment)
        for host in REGION:
            wait_until(
                lambda host=host: target_state(deployment, host) == "ready",
                f"{host} knows the service",
            )
        return deployment

    def wait_replicas(self, deployment, hosts=REGION):
        """Wait until the replicas of these hosts have recovered."""

        def recovered():
            return all(
                deployment.operator(host).counters()["gauges"]["run_once.recovered"]
                for host in hosts
            )

        wait_until(recovered, "the run-once replicas have recovered")

    def test_lost_answer(self):
        """The answer is lost and the caller resends to the same and to other hosts."""
        deployment = self.deploy()
        call = Call(deployment)
        first = call.send("bkk-1")
        self.assertEqual(first.status, 200, first.body)
        for host in ["bkk-1", "bkk-2", "bkk-3"]:
            again = call.send(host)
            self.assertEqual((again.status, again.body), (200, first.body))
        self.assertEqual(call.runs(), 1)

    def test_caller_timed_out(self):
        """The caller times out and resends while the first run is in progress."""
        deployment = self.deploy()
        deployment.set_faults(SERVICE, slow=SLOW)
        call = Call(deployment)
        with self.assertRaises(TimeoutError):
            call.send("bkk-1", timeout=0.5)
        call.wait_running()
        again = call.send("bkk-2")
        # On a slow machine the first run may already have ended.
        if again.status != 200:
            self.assertEqual(again.refusal["kind"], "run_in_progress")
        call.wait_answered("bkk-2")
        self.assertEqual(call.runs(), 1)

    def test_truncated_answer_is_not_run_again(self):
        """The service ran the call, but its answer was truncated in transit."""
        deployment = self.deploy()
        deployment.set_faults(SERVICE, cut_after=0)
        call = Call(deployment)
        self.assertNotEqual(call.send("bkk-1").status, 200)
        deployment.set_faults(SERVICE, cut_after=-1)
        for host in REGION:
            again = call.send(host)
            self.assertEqual(again.refusal["kind"], "run_unknown")
            self.assertEqual(again.refusal["ran"], "unknown")
        self.assertEqual(call.runs(), 1)

    def test_killed_host(self):
        """The host is killed while the call runs; the caller resends through others.

        They don't know whether the call ran. They must report that and not run it,
        before and after the host restarts without memory.
        """
        deployment = self.deploy()
        deployment.set_faults(SERVICE, slow=STUCK)
        call = Call(deployment)
        call.send_in_background("bkk-2")
        call.wait_running()
        deployment.kill("bkk-2")
        deployment.set_faults(SERVICE, slow=1.0)
        # The kind depends on how long the kill took.
        kinds = ("run_in_progress", "run_unknown")
        self.assertIn(call.send("bkk-1").refusal["kind"], kinds)
        call.wait_refused("bkk-3", "run_unknown")
        deployment.restart("bkk-2")
        call.wait_refused("bkk-2", "run_unknown")
        self.assertEqual(call.runs(), 1)

    def test_frozen_host(self):
        """The host is stopped during the call and resumes after it was given up."""
        deployment = self.deploy()
        deployment.set_faults(SERVICE, slow=SLOW)
        call = Call(deployment)
        call.send_in_background("bkk-2")
        call.wait_running()
        deployment.freeze("bkk-2")
        call.wait_refused("bkk-1", "run_unknown")
        deployment.thaw("bkk-2")
        call.wait_answered("bkk-3")
        self.assertEqual(call.runs(), 1)

    def test_host_frozen_before_it_dispatches(self):
        """The host is stopped between claim and dispatch, and resumes much later.

        Host bkk-1 claims and is stopped while the votes for its claim are in flight.
        Host bkk-2 then reports the outcome as unknown. When bkk-1 resumes and gets
        the votes, it must not dispatch.
        """
        deployment = self.deploy(proxied=True, timeout=40)
        slow_links = [
            LinkFault(link_name(host, "bkk-1", "peer"), delay=VOTE_DELAY)
            for host in ["bkk-2", "bkk-3"]
        ]
        deployment.links.change(slow_links)
        call, replies = self.freeze_with_claim(deployment)
        call.wait_refused("bkk-2", "run_unknown")
        deployment.thaw("bkk-1")
        wait_until(lambda: replies, "bkk-1 has answered")
        self.assertNotEqual(replies[0].status, 200)
        self.assertEqual(replies[0].refusal["kind"], "run_records_unavailable")
        self.assertEqual(call.runs(), 0)
        self.assertEqual(counter(deployment, "bkk-1", "run_once.confirm.lost"), 1)

    def freeze_with_claim(self, deployment):
        """Freeze bkk-1 after others have stored its claim, before it gets the votes."""
        for _ in range(3):
            before = counter(deployment, "bkk-2", "run_once.stored")
            call = Call(deployment)
            replies = call.send_in_background("bkk-1")
            self.wait_stored(deployment, before)
            deployment.freeze("bkk-1")
            if call.runs() == 0:
                return call, replies
            # This process was too slow: the votes had already arrived.
            deployment.thaw("bkk-1")
        raise AssertionError("the host was never frozen in time")

    def wait_stored(self, deployment, before):
        def stored():
            return counter(deployment, "bkk-2", "run_once.stored") > before

        wait_until(stored, "bkk-2 has stored the claim")

    def test_partitioned_host(self):
        """The host that receives the call is partitioned from all other replicas.

        It refuses the call and nothing runs. The same key is served by another host,
        and after the partition heals the first host returns the answer too.
        """
        deployment = self.deploy(proxied=True)
        deployment.isolate_host("bkk-1")
        call = Call(deployment)
        refused = call.send("bkk-1")
        self.assertEqual(refused.refusal["kind"], "run_records_unavailable")
        self.assertEqual(call.runs(), 0)
        call.wait_answered("bkk-2")
        deployment.heal()
        call.wait_answered("bkk-1")
        self.assertEqual(call.runs(), 1)

    def test_isolated_region(self):
        """A region that is partitioned from all others still serves its callers."""
        deployment = self.deploy(proxied=True)
        deployment.isolate_region("bkk")
        call = Call(deployment)
        for host in REGION:
            reply = call.send(host)
            self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(call.runs(), 1)

    def test_replicas_lost_one_after_another(self):
        """Every replica is wiped, each after the previous one has recovered."""
        deployment = self.deploy()
        call = Call(deployment)
        first = call.send("bkk-1")
        self.assertEqual(first.status, 200, first.body)
        for host in REGION:
            deployment.wipe(host)
            deployment.restart(host)
            self.wait_replicas(deployment)
        for host in REGION:
            self.assertEqual(call.wait_answered(host).body, first.body)
        self.assertEqual(call.runs(), 1)

    def test_second_replica_lost_before_the_first_recovered(self):
        """Two of three replicas are wiped, so it is unknown whether the call ran."""
        deployment = self.deploy()
        call = Call(deployment)
        self.assertEqual(call.send("bkk-1").status, 200)
        for host in ["bkk-1", "bkk-2"]:
            deployment.wipe(host)
        for host in ["bkk-1", "bkk-2"]:
            deployment.restart(host)
        for host in ["bkk-1", "bkk-2"]:
            # A host refuses all requests as not ready until it has the catalogue.
            deployment.wait_ready(host)
        self.wait_replicas(deployment)
        for host in REGION:
            refused = call.send(host)
            self.assertEqual(refused.refusal["kind"], "run_records_unavailable")
        self.assertEqual(call.runs(), 1)
        fresh = Call(deployment)
        fresh.wait_answered("bkk-3")
        self.assertEqual(fresh.runs(), 1)

    def test_resend_past_the_lifetime(self):
        """The record has expired on all replicas; a resend is refused, not run."""
        deployment = self.deploy(lifetime=3)
        call = Call(deployment)
        self.assertEqual(call.send("bkk-1").status, 200)
        for host in REGION:
            call.wait_refused(host, "key_expired")

        def dropped():
            return all(
                deployment.operator(host).counters()["gauges"]["run_once.registers"]
                == 0
                for host in REGION
            )

        wait_until(dropped, "the replicas have dropped the record")
        for host in REGION:
            call.wait_refused(host, "key_expired")
        self.assertEqual(call.runs(), 1)
