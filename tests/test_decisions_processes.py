"""Lookup of decision records from real hosts while others are killed or cut off."""

import unittest

from nose2.tools import params

from bronzepoint_emulator.deployment import Deployment, wait_until
from tests import _golden_site

REGION_HOSTS = ("bkk-1", "bkk-2", "bkk-3")
RECORDER = "bkk-1"


def request_record(dep, host, request_id):
    return dep.operator(host).client.get(f"/v1/why/{request_id}")


def counter(dep, host, name):
    return dep.operator(host).counters()["counters"].get(name, 0)


def backup_of(dep):
    """Wait until a host has received copies, and return it."""
    others = [host for host in REGION_HOSTS if host != RECORDER]
    return wait_until(
        lambda: next(
            (host for host in others if counter(dep, host, "decisions.copies_kept")),
            None,
        ),
        "a backup has the copy",
    )


class LostHostTest(unittest.TestCase):
    def run_site(self, **options):
        dep = Deployment(_golden_site.layout(), **options)
        self.addCleanup(dep.close)
        dep.start()
        return dep

    def test_backup_answers_for_a_killed_host(self):
        """Guards against the loss of a record together with its host.

        A host answers a request and is killed. If the record were only in its memory,
        it would be lost. Every other host must find it by the request id alone.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        backup_of(dep)
        dep.kill(RECORDER)
        for host in dep.host_names():
            if host == RECORDER:
                continue
            reply = request_record(dep, host, request_id)
            self.assertEqual(reply.status, 200, (host, reply.body))
            [record] = reply.json()["records"]
            self.assertEqual(record["host"], RECORDER)
            self.assertEqual(record["outcome"], "answered")

    @params(False, True)
    def test_original_answers_for_a_killed_backup(self, both):
        """Guards against a wrong report that a record is lost, or that it exists.

        The host with the copy is killed; in the second case also the host with the
        original. The error must then name the hosts that were queried.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        backup = backup_of(dep)
        dep.kill(backup)
        reply = request_record(dep, "cnx-1", request_id)
        self.assertEqual(reply.status, 200, reply.body)
        if not both:
            return
        dep.kill(RECORDER)
        reply = request_record(dep, "cnx-1", request_id)
        self.assertEqual(reply.status, 404, reply.body)
        self.assertEqual(reply.refusal["kind"], "not_found")
        [third] = set(REGION_HOSTS) - {RECORDER, backup}
        self.assertIn(f"{third} has none and keeps", reply.refusal["message"])
        self.assertIn(f"{RECORDER} did not answer", reply.refusal["message"])

    def test_lookup_during_a_partition(self):
        """Guards against a lookup that fails or reports lost records in a partition.

        A request of bkk is answered by sgp, then the link to sgp drops all packets. A
        lookup in bkk must return the record of bkk and the missing part. A lookup in
        sgp must report that the hosts with the first record are unreachable, rather
        than that there is no record.
        """
        dep = self.run_site(proxied=True)
        request_id = dep.client(RECORDER).chat("archive", "hello", 2).request_id
        wait_until(
            lambda: (
                len(request_record(dep, RECORDER, request_id).json()["records"]) == 2
            ),
            "both records are found",
        )
        dep.isolate_region("sgp")
        reply = request_record(dep, "bkk-2", request_id)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual([r["host"] for r in reply.json()["records"]], [RECORDER])
        [part] = reply.json()["missing"]
        self.assertEqual((part["host"], part["region"]), ("sgp-1", "sgp"))
        reply = request_record(dep, "sgp-1", request_id)
        self.assertEqual(reply.status, 503, reply.body)
        self.assertEqual(reply.refusal["kind"], "region_unreachable")
        self.assertGreater(reply.refusal["retry_after"], 0)
        dep.heal()
        wait_until(
            lambda: (
                len(request_record(dep, "sgp-1", request_id).json()["records"]) == 2
            ),
            "both records are found again",
        )

    def test_backup_has_the_records_of_a_restarted_host(self):
        """Guards against the loss of the newest records by a restart.

        A host answers a request and gets SIGTERM right after, before the next copy is
        due. After its restart its memory is empty.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        dep.terminate(RECORDER)
        self.assertEqual(dep.process(RECORDER).wait(30.0), 0)
        dep.restart(RECORDER)
        reply = request_record(dep, RECORDER, request_id)
        self.assertEqual(reply.status, 200, reply.body)
