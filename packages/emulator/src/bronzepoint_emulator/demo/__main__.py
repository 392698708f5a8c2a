"""``python -m bronzepoint_emulator.demo``: exit status 0 if all steps pass."""

import sys

from bronzepoint_emulator.demo._demo import run_demo

INTERRUPTED_STATUS = 130
"""Exit status after Ctrl-C, by shell convention (128 + SIGINT)."""

if __name__ == "__main__":
    try:
        sys.exit(run_demo())
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_STATUS)
