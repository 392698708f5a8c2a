"""Weights of organisations in the fair order."""

from collections.abc import Mapping

from bronzepoint_node.fleet import Organisation
from bronzepoint_schema.ids import OrganisationName


def organisation_weights(
    organisations: Mapping[OrganisationName, Organisation] | None,
) -> dict[str, float]:
    """Return the weight of each organisation; 1 is the mean.

    A quota states the use that an organisation is entitled to, so capacity is shared in
    proportion to the quotas. Organisations without a quota have the mean weight. If the
    quotas have different units, they can't be compared and all weights are 1.
    """
    quotas = {
        name: organisation.quota
        for name, organisation in (organisations or {}).items()
        if organisation.quota is not None and organisation.quota.rate > 0
    }
    if len({quota.in_tokens for quota in quotas.values()}) != 1:
        return {}
    mean = sum(quota.rate for quota in quotas.values()) / len(quotas)
    return {name: quota.rate / mean for name, quota in quotas.items()}
