"""Limit on the retries of all hosts together."""

from ._delivery import Delivery
from ._retry_budget import RetryBudget

__all__ = ["Delivery", "RetryBudget"]
