"""``python -m bronzepoint_emulator.demo``: exit status 0 where every step held."""

import sys

from bronzepoint_emulator.demo._demo import run_demo

INTERRUPTED = 130

if __name__ == "__main__":
    try:
        sys.exit(run_demo())
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
