"""Quotas of organisations, enforced over all hosts of all regions together."""

from ._host_quotas import Charge, HostQuotas, OverQuota
from ._ledger import Ledger
from ._quota_counter import QuotaCounter
from ._quotas import Quotas
from ._tolerance import Tolerance

__all__ = [
    "Charge",
    "HostQuotas",
    "Ledger",
    "OverQuota",
    "QuotaCounter",
    "Quotas",
    "Tolerance",
]
