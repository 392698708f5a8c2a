"""All tests; the platform's adapter is no installed package, so its folder is named."""

import signal
import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

# A shell starts what runs in the background, as CI beside load, with SIGINT ignored.
# The processes of tests would inherit that: interrupted ones would run on to their end,
# and the tests of interruption fail there and nowhere else.
signal.signal(signal.SIGINT, signal.default_int_handler)
