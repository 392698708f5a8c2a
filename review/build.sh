#!/bin/sh
# Checks the stand-ins of the scripts, which need nothing but Python 3.11.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c "import common.http, common.places, common.site"
