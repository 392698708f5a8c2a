"""Why a request was decided so, asked of real hosts while others are lost."""

import unittest

from nose2.tools import params

from bronzepoint_emulator.deployment import Deployment, wait_until
from tests import _golden_site

REGION_HOSTS = ("bkk-1", "bkk-2", "bkk-3")
RECORDER = "bkk-1"


def ask(dep, host, request_id):
    return dep.operator(host).client.get(f"/v1/why/{request_id}")


def counter(dep, host, name):
    return dep.operator(host).counters()["counters"].get(name, 0)


def backup_of(dep):
    """Return the host that got the copies; wait until one has got some."""
    others = [host for host in REGION_HOSTS if host != RECORDER]
    return wait_until(
        lambda: next(
            (host for host in others if counter(dep, host, "decisions.copies_kept")),
            None,
        ),
        "a backup holds the copy",
    )


class LostHostTest(unittest.TestCase):
    def run_site(self, **options):
        dep = Deployment(_golden_site.layout(), **options)
        self.addCleanup(dep.close)
        dep.start()
        return dep

    def test_backup_answers_for_a_killed_host(self):
        """Symptom: nobody can say why a request was decided so.

        Sequence: a host answers a request and is killed. Cause: the record lived only
        in its memory. All other hosts are asked, with the identifier alone.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        backup_of(dep)
        dep.kill(RECORDER)
        for host in dep.host_names():
            if host == RECORDER:
                continue
            reply = ask(dep, host, request_id)
            self.assertEqual(reply.status, 200, (host, reply.body))
            [record] = reply.json()["records"]
            self.assertEqual(record["host"], RECORDER)
            self.assertEqual(record["outcome"], "answered")

    @params(False, True)
    def test_original_answers_for_a_killed_backup(self, both):
        """Symptom: a record counts as gone while it is there, or the reverse.

        Sequence: the host with the copy is killed, then (second case) the one with
        the original, too. The error then names who was asked.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        backup = backup_of(dep)
        dep.kill(backup)
        reply = ask(dep, "cnx-1", request_id)
        self.assertEqual(reply.status, 200, reply.body)
        if not both:
            return
        dep.kill(RECORDER)
        reply = ask(dep, "cnx-1", request_id)
        self.assertEqual(reply.status, 404, reply.body)
        self.assertEqual(reply.refusal["kind"], "not_found")
        [third] = set(REGION_HOSTS) - {RECORDER, backup}
        self.assertIn(f"{third} has none and keeps", reply.refusal["message"])
        self.assertIn(f"{RECORDER} did not answer", reply.refusal["message"])

    def test_cut_off_region(self):
        """Symptom: a partition between regions hides also the part that is at hand.

        Sequence: a request of bkk is answered by sgp, then sgp is cut off in silence.
        Asked in bkk: the home record, and what is missing. Asked in sgp: nobody who
        has the first record can be reached; that is not the same as no record.
        """
        dep = self.run_site(proxied=True)
        request_id = dep.client(RECORDER).chat("archive", "hello", 2).request_id
        wait_until(
            lambda: len(ask(dep, RECORDER, request_id).json()["records"]) == 2,
            "both records are found",
        )
        dep.isolate_region("sgp")
        reply = ask(dep, "bkk-2", request_id)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual([r["host"] for r in reply.json()["records"]], [RECORDER])
        [part] = reply.json()["missing"]
        self.assertEqual((part["host"], part["region"]), ("sgp-1", "sgp"))
        reply = ask(dep, "sgp-1", request_id)
        self.assertEqual(reply.status, 503, reply.body)
        self.assertEqual(reply.refusal["kind"], "region_unreachable")
        self.assertGreater(reply.refusal["retry_after"], 0)
        dep.heal()
        wait_until(
            lambda: len(ask(dep, "sgp-1", request_id).json()["records"]) == 2,
            "both records are found again",
        )

    def test_restarted_host_keeps_its_records_at_the_backup(self):
        """Symptom: after a restart the reasons of the last minutes are gone.

        Sequence: a host answers and gets SIGTERM at once, before the next copy is
        due; it is started again and has an empty memory.
        """
        dep = self.run_site()
        request_id = dep.client(RECORDER).chat("clinic", "hello", 2).request_id
        dep.terminate(RECORDER)
        self.assertEqual(dep.process(RECORDER).wait(30.0), 0)
        dep.restart(RECORDER)
        reply = ask(dep, RECORDER, request_id)
        self.assertEqual(reply.status, 200, reply.body)
