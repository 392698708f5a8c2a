"""State of an entry in each region, in the form that the policy uses."""

from bronzepoint_node.membership import RegionSummary
from bronzepoint_node.policy import RegionView
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry, Target


def region_views(
    entry: ModelEntry | ServiceEntry, summaries: list[RegionSummary]
) -> list[RegionView]:
    """Return a view of each region that has targets of the entry."""
    views = []
    for summary in summaries:
        targets = [
            target
            for target in entry.targets
            if target.region == summary.name and not target.leaving
        ]
        if targets:
            views.append(_region_view(entry, summary, targets))
    return views


def _region_view(
    entry: ModelEntry | ServiceEntry, summary: RegionSummary, targets: list[Target]
) -> RegionView:
    view = RegionView(
        name=summary.name,
        reachable=summary.reachable,
        trip=summary.trip,
        age=summary.age,
        hosts=summary.live,
    )
    load = summary.entries.get(entry.name)
    if load is None:
        # Load reports contain only entries in use. An entry that is missing is idle
        # in that region, so all its targets there count as free.
        view.slots = sum(target.slots for target in targets)
        view.cost = sum(target.cost for target in targets) / len(targets)
        return view
    view.slots = load.slots
    view.in_progress = load.in_progress
    view.expected_wait = load.expected_wait
    view.cost = load.cost
    return view
