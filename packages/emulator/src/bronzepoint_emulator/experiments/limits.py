"""Measures the requests that a limit admits, on real daemons."""

import sys
from pathlib import Path

from bronzepoint_emulator.experiments._limits import limits_table, measure_limits


def main(out: Path) -> None:
    """Run the measurement and write its table."""
    table = limits_table(measure_limits())
    out.mkdir(parents=True, exist_ok=True)
    text = (
        "# What a limit lets through over the three hosts of a region\n\n"
        "An owner with a limit of 10 requests a second sends 60 a second to three real "
        "daemons. Counted from the moment of the fault; the bound is that of "
        f"docs/design/policy.md.\n\n{table}"
    )
    (out / "limits.md").write_text(text)
    print(table)


if __name__ == "__main__":
    main(Path(sys.argv[1] if len(sys.argv) > 1 else "docs/measurements"))
