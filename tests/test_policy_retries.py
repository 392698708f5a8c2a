"""Tests of safe retries and of the retry budget."""

import unittest

from nose2.tools import params

from bronzepoint_node.policy import RetryBudget
from bronzepoint_node.policy._retry_budget import safe_to_retry
from bronzepoint_schema.generated.decisions import RetryReason


class TestRetries(unittest.TestCase):
    @params(
        (RetryReason.connect_failed, False, True),
        (RetryReason.stale_connection, False, True),
        (RetryReason.target_overloaded, False, True),
        (RetryReason.target_leaving, False, True),
        (RetryReason.region_refused, False, True),
        (RetryReason.target_error, False, False),
        (RetryReason.target_error, True, True),
    )
    def test_safe(self, reason, idempotent, expected):
        self.assertEqual(safe_to_retry(reason, idempotent), expected)

    def test_failing_region_gets_no_multiple_of_its_load(self):
        """Retries must not multiply the load of an overloaded region.

        Every target answers with an error. If each request were tried three times, the
        region would get three times the load that overloaded it.
        """
        budget = RetryBudget(0.1)
        tries = 0
        for _ in range(1000):
            tries += 1
            for _ in range(2):
                if not budget.take("chat", "bkk", RetryReason.target_error):
                    break
                tries += 1
        self.assertLessEqual(tries, 1000 + 5)

    def test_budget_follows_the_answers(self):
        budget = RetryBudget(0.1)
        for _ in range(5):
            budget.take("chat", "bkk", RetryReason.target_error)
        self.assertFalse(budget.take("chat", "bkk", RetryReason.target_error))
        for _ in range(11):
            budget.answered("chat", "bkk")
        self.assertTrue(budget.take("chat", "bkk", RetryReason.target_error))
        self.assertFalse(budget.take("chat", "bkk", RetryReason.target_error))
        # Each region has a budget of its own.
        self.assertTrue(budget.take("chat", "sgp", RetryReason.target_error))

    def test_tries_that_cost_nothing_are_not_counted(self):
        budget = RetryBudget(0.0)
        for _ in range(50):
            self.assertTrue(budget.take("chat", "bkk", RetryReason.connect_failed))
