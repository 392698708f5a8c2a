"""Counts why requests failed or were late, from the logs of a run.

    python tools/lost_worth.py LOG [LOG…]

A log is the benchmark's output with `--log`, or the standard output of entry hosts.
Each request counts once, at the host that received it from the caller, under the first
cause that applies.
"""

import json
import re
import sys
from collections import Counter
from collections.abc import Iterator

PLAIN = "-"
"""Kind shown for requests that aren't streams, which have no limit on pauses."""
WINDOW = 4.0
"""Seconds covered by one column of the second table."""
LOG_LINE = re.compile(r"^\s*(-?[\d.]+)?\s*(\S+ )?(\{.*\})\s*$")


def lines(path: str) -> Iterator[tuple[float, dict]]:
    """Yield the log lines about the end of a request, each with its time in the run."""
    with open(path) as file:
        for text in file:
            match = LOG_LINE.match(text)
            if match is None or '"message":"request"' not in text:
                continue
            yield float(match[1] or 0.0), json.loads(match[3])


def cause(line: dict) -> str:
    """Return why a request failed or was late; empty if neither."""
    outcome, first = line["outcome"], line["first_event"]
    if not outcome.startswith("answered"):
        tries = line["tries"]
        last = tries[-1].rpartition(" -> ")[2] if tries else "untried"
        if outcome.startswith("refused"):
            return outcome
        return f"{outcome}, {last if ' ' not in last else 'at work'}"
    if outcome not in ("answered", "answered_200"):
        return outcome
    if (first if first is not None else line["seconds"]) > line["objective"]:
        return "late: first answer"
    if line["max_gap"] and line["gap"] > line["max_gap"]:
        return "late: pause"
    return ""


def main() -> None:
    """Print the table by kind of request and the table by time of arrival."""
    kinds: dict[str, Counter] = {}
    windows: dict[str, Counter] = {}
    for path in sys.argv[1:]:
        for at, line in lines(path):
            if line["forwarded"]:
                continue
            kind = f"rank {line['rank']}" if line["max_gap"] else PLAIN
            reason = cause(line)
            kinds.setdefault(reason, Counter())[kind] += 1
            arrival = int((at - line["seconds"]) // WINDOW * WINDOW)
            windows.setdefault(reason, Counter())[arrival] += 1
    for title, table in (("by kind", kinds), ("by second of arrival", windows)):
        columns = sorted({column for row in table.values() for column in row})
        print(f"{title:40}", *(f"{column!s:>7}" for column in columns), "    all")
        for reason, row in sorted(table.items(), key=lambda item: -item[1].total()):
            cells = (f"{row[column]:7}" for column in columns)
            print(f"{reason or 'in time':40}", *cells, f"{row.total():7}")
        print()


if __name__ == "__main__":
    main()
