"""Markdown tables of a deployment's measurements, with fitted lines."""

from collections import defaultdict
from statistics import linear_regression

from bronzepoint_emulator.slopes._system_rows import SystemRow

MICRO = 1e6
KIB = 1024


def system_table(rows: list[SystemRow]) -> str:
    """Return tables of the idle hosts, the loads and the items."""
    idle = [row for row in rows if row.slope == "idle"]
    loads = [row for row in rows if row.count]
    items = [row for row in rows if not row.count and row.slope != "idle"]
    return "\n".join([*_idle(idle), "", *_loads(loads), "", *_items(items), ""])


def _idle(rows: list[SystemRow]) -> list[str]:
    head = [
        "| Idle host | % of a core | MiB | bytes/s out | bytes/s in | messages/s |",
        "| --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    return head + [
        f"| {row.role} | {row.use.processor / row.use.seconds * 100:.2f} "
        f"| {row.use.memory / KIB**2:.1f} | {row.use.sent / row.use.seconds:.0f} "
        f"| {row.use.received / row.use.seconds:.0f} "
        f"| {row.use.messages / row.use.seconds:.1f} |"
        for row in rows
    ]


def _loads(rows: list[SystemRow]) -> list[str]:
    head = [
        "| Load | host | a second | count | µs each | bytes out each | bytes in each "
        "| messages each |",
        "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines = [
        f"| {row.slope} | {row.role} | {row.size:g} | {row.count} "
        f"| {row.use.processor / row.count * MICRO:.0f} "
        f"| {row.use.sent / row.count:.0f} | {row.use.received / row.count:.0f} "
        f"| {row.use.messages / row.count:.1f} |"
        for row in rows
    ]
    return [*head, *lines, "", *_load_slopes(rows)]


def _load_slopes(rows: list[SystemRow]) -> list[str]:
    """Return a table of linear fits of processor time per second to the rate."""
    head = [
        "| Load | host | µs each, by the fitted line | % of a core at rate 0 |",
        "| --- | --- | ---: | ---: |",
    ]
    lines = []
    for (slope, role), group in _grouped(rows).items():
        rates = [row.count / row.use.seconds for row in group]
        used = [row.use.processor / row.use.seconds for row in group]
        line = linear_regression(rates, used)
        lines.append(
            f"| {slope} | {role} | {line.slope * MICRO:.0f} "
            f"| {line.intercept * 100:.2f} |"
        )
    return head + lines


def _items(rows: list[SystemRow]) -> list[str]:
    head = [
        "| Items | host | MiB by size | bytes of memory each, fitted "
        "| % of a core while idle, by size |",
        "| --- | --- | --- | ---: | --- |",
    ]
    lines = []
    for (slope, role), group in _grouped(rows).items():
        sizes = [row.size for row in group]
        line = linear_regression(sizes, [row.use.memory for row in group])
        memory = ", ".join(
            f"{row.size:g}: {row.use.memory / KIB**2:.1f}" for row in group
        )
        processor = ", ".join(
            f"{row.size:g}: {row.use.processor / row.use.seconds * 100:.2f}"
            for row in group
        )
        lines.append(
            f"| {slope} | {role} | {memory} | {line.slope:.0f} | {processor} |"
        )
    return head + lines


def _grouped(rows: list[SystemRow]) -> dict[tuple[str, str], list[SystemRow]]:
    groups: dict[tuple[str, str], list[SystemRow]] = defaultdict(list)
    for row in rows:
        groups[row.slope, row.role].append(row)
    return groups
