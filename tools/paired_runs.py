"""Runs the same days with the same seeds on several source trees, for comparison.

Compares a change of policy with the tree without it on the same seeds, since the worth
of a day varies by 0.03 even between two runs of one tree.

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

DEFAULT_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
"""Days that are run by default."""
SITE_SEED = "0"
"""Selects the seed that the site file specifies for the day."""
PRICES = {
    "1,000 tokens of shared parts read again": "again",
    "worth refused again": "refused",
    "GB of prompt memory moved": "moved",
    "GB between regions": "between",
}
"""Prices shown in the table, with their column headings."""


@dataclass(frozen=True)
class BenchRun:
    """Parameters of one benchmark run."""

    tree: Path
    day: str
    seed: str


def run_bench(bench: Path, site: Path, run: BenchRun, why: str) -> dict:
    """Run the benchmark once; return its report, or an empty one if it failed."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, run.day, "--report", report.name, "--why", why]
        if run.seed != SITE_SEED:
            command += ["--seed", run.seed]
        done = subprocess.run(command, cwd=run.tree, capture_output=True, text=True)
        text = Path(report.name).read_text()
    if not text:
        print(run, done.stdout[-500:], done.stderr[-500:], file=sys.stderr)
        return {}
    return json.loads(text)


def row(name: str, reports: Iterable[dict]) -> str:
    """Return one line of the table with the means over the given reports."""
    finished = [report for report in reports if report]
    if not finished:
        return f"{name:40} no finished run"

    def mean(values: Iterable[float]) -> float:
        return statistics.fmean(values)

    parts = [[value for _, _, value in report["parts"]] for report in finished]
    prices = [{p[0]: p[2] for p in report["prices"]} for report in finished]
    cells = [
        f"{name:40} {mean(r['G'] for r in finished):6.3f}",
        f"{mean(r['refused'] for r in finished):8.3f}",
        f"{mean(r['failed'] for r in finished):7.3f}",
        *(f"{mean(column):7.3f}" for column in zip(*parts, strict=True)),
        *(f"{mean(p.get(price, 0.0) for p in prices):8.4f}" for price in PRICES),
        " ".join(sorted({rule for r in finished for rule in r["breaks"]})),
    ]
    return " ".join(cells)


def main() -> None:
    """Execute all runs and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("trees", type=Path, nargs="+")
    parser.add_argument("--days", default=DEFAULT_DAYS)
    parser.add_argument("--seeds", default=SITE_SEED)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", default="paired runs of one change, a trial")
    options = parser.parse_args()
    bench, site = options.bench.resolve(), options.site.resolve()
    for tree in options.trees:
        subprocess.run([bench, "build"], cwd=tree, capture_output=True, check=True)
    runs = [
        BenchRun(tree.resolve(), day, seed)
        for day in options.days.split(",")
        for seed in options.seeds.split(",")
        for tree in options.trees
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        reports = list(pool.map(lambda p: run_bench(bench, site, p, options.why), runs))
    results = dict(zip(runs, reports, strict=True))
    headings = " ".join(f"{head:>8}" for head in PRICES.values())
    print(f"{'':40}  worth  refused  failed   whole worst-s   kind    zone {headings}")
    for run, report in results.items():
        print(row(f"{run.tree.name} {run.day} {run.seed}", [report]))
    for tree in options.trees:
        tree_reports = [r for p, r in results.items() if p.tree == tree.resolve()]
        print(row(f"{tree.name} mean", tree_reports))


if __name__ == "__main__":
    main()
