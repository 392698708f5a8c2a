"""All tests; the platform's adapter is no installed package, so its folder is named."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
