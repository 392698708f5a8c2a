"""The running sum of the hosts' load reports for one target."""

import random
import unittest

from nose2.tools import params

from bronzepoint_node.placement._load_sum import RANK_COUNT
from bronzepoint_node.placement._reported_loads import ReportedLoads
from bronzepoint_schema.generated.target_loads import TargetLoad

EXPIRY = 3.0


def random_load(rng):
    """Return a report; a third of them have no unread prompt."""
    head = rng.choice((0, 900, 6000))
    unread = [rng.randrange(3) * 100 for _ in range(RANK_COUNT)]
    return TargetLoad("t", rng.randrange(9), 1000, unread, head, 2, rng.randrange(500))


class TestRunningSum(unittest.TestCase):
    @params(*range(1, 9))
    def test_equals_the_sum_of_all_current_reports(self, seed):
        """Guards against a sum that keeps a replaced or expired report."""
        rng = random.Random(seed)
        reports = ReportedLoads(EXPIRY)
        expected = {}
        now = 100.0
        for _ in range(400):
            now += rng.choice((0.01, 0.3, 1.0))
            host = f"h{rng.randrange(6)}"
            load = random_load(rng)
            reports.replace(host, load, now)
            expected[host] = (now, load)
            current = [(at, r) for at, r in expected.values() if now - at < EXPIRY]
            total = reports.total(now)
            self.assertEqual(total.in_flight, sum(r.in_flight for _, r in current))
            self.assertEqual(total.memory_tokens, 1000 * len(current))
            ranks = zip(*(r.unread for _, r in current), strict=True)
            self.assertEqual(total.unread, [sum(tokens) for tokens in ranks])
            sent = [at - r.head_age_ms / 1000 for at, r in current if r.head_tokens]
            head = total.head.sent_at if total.head else None
            self.assertEqual(head, min(sent, default=None))
            oldest = min(at for at, _ in current)
            self.assertEqual(reports.valid_until(), oldest + EXPIRY)

    def test_cleared_reports_leave_nothing(self):
        """Guards against loads of a former collector that are counted twice."""
        reports = ReportedLoads(EXPIRY)
        reports.replace("h", random_load(random.Random(1)), 1.0)
        reports.clear()
        total = reports.total(1.0)
        self.assertEqual(
            (total.in_flight, total.memory_tokens, total.head), (0, 0, None)
        )
        self.assertEqual(total.unread, [0] * RANK_COUNT)
        self.assertIsNone(reports.get("h", 1.0))
