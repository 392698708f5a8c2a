"""Plays the same days with the same seeds on several trees, side by side.

One change of policy is judged against the tree without it, on paired seeds: one
day's worth spreads by 0.03 between two runs of one tree.

    python tools/paired_runs.py BENCH SITE TREE [TREE…] --seeds 1,2
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

STANDARD = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
OWN_SEED = "0"
"""Stands for the seed that the site file gives the day."""
PRICES = {
    "1,000 tokens of shared parts read again": "again",
    "worth refused again": "refused",
    "GB of prompt memory moved": "moved",
    "GB between regions": "between",
}
"""Prices that are shown, with the heads of their columns."""


@dataclass(frozen=True)
class Play:
    """One day with one seed on one tree."""

    tree: Path
    day: str
    seed: str


def play(bench: Path, site: Path, what: Play, why: str) -> dict:
    """Run the bench once; return its report, empty where it gave none."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, what.day, "--report", report.name, "--why", why]
        if what.seed != OWN_SEED:
            command += ["--seed", what.seed]
        done = subprocess.run(command, cwd=what.tree, capture_output=True, text=True)
        text = Path(report.name).read_text()
    if not text:
        print(what, done.stdout[-500:], done.stderr[-500:], file=sys.stderr)
        return {}
    return json.loads(text)


def row(name: str, reports: Iterable[dict]) -> str:
    """Return one line of the table: means over some plays."""
    played = [report for report in reports if report]
    if not played:
        return f"{name:40} nothing played"

    def mean(values: Iterable[float]) -> float:
        return statistics.fmean(values)

    parts = [[value for _, _, value in report["parts"]] for report in played]
    prices = [{p[0]: p[2] for p in report["prices"]} for report in played]
    cells = [
        f"{name:40} {mean(r['G'] for r in played):6.3f}",
        f"{mean(r['refused'] for r in played):8.3f}",
        f"{mean(r['failed'] for r in played):7.3f}",
        *(f"{mean(column):7.3f}" for column in zip(*parts, strict=True)),
        *(f"{mean(p.get(price, 0.0) for p in prices):8.4f}" for price in PRICES),
        " ".join(sorted({rule for r in played for rule in r["breaks"]})),
    ]
    return " ".join(cells)


def main() -> None:
    """Play everything and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("trees", type=Path, nargs="+")
    parser.add_argument("--days", default=STANDARD)
    parser.add_argument("--seeds", default=OWN_SEED)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", default="paired runs of one change, a trial")
    chosen = parser.parse_args()
    bench, site = chosen.bench.resolve(), chosen.site.resolve()
    for tree in chosen.trees:
        subprocess.run([bench, "build"], cwd=tree, capture_output=True, check=True)
    plays = [
        Play(tree.resolve(), day, seed)
        for day in chosen.days.split(",")
        for seed in chosen.seeds.split(",")
        for tree in chosen.trees
    ]
    with ThreadPoolExecutor(chosen.jobs) as pool:
        reports = list(pool.map(lambda p: play(bench, site, p, chosen.why), plays))
    results = dict(zip(plays, reports, strict=True))
    heads = " ".join(f"{head:>8}" for head in PRICES.values())
    print(f"{'':40}  worth  refused  failed   whole worst-s   kind    zone {heads}")
    for what, report in results.items():
        print(row(f"{what.tree.name} {what.day} {what.seed}", [report]))
    for tree in chosen.trees:
        mine = [r for p, r in results.items() if p.tree == tree.resolve()]
        print(row(f"{tree.name} mean", mine))


if __name__ == "__main__":
    main()
