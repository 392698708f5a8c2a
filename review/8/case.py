"""Some tens of large changes fill the disks of all core hosts for good."""

import json
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site2.deployment import (  # noqa: E402
    CannotRun,
    Deployment,
    Record,
    manifest,
    route,
    until,
)

HOSTS = {
    "a1": ("core", "a"),
    "a2": ("core", "a"),
    "b1": ("core", "b"),
    "b2": ("core", "b"),
    "c1": ("core", "c"),
}
SEEDS = ["a1", "b1", "c1"]
MEMORY_MB = 296
DISK_MB = 128
"""Memory and disk of a core machine, as the users' sheets state them."""
TENANTS = 3000
KEYS = 28
"""Keys of each tenant; the manifest then has just under 4,194,304 bytes."""
MAX_BYTES = 4194304
CHANGES = 90
"""Changes that are sent; a day may have hundreds."""
ACK = 8.0
"""Seconds after which a change must be acknowledged (ack_ms)."""
CHANGING_TIME = 80.0
"""Seconds for which changes are sent at most."""
READ_TIME = 14.0
"""Seconds for which the manifest is read back, over twice contact_ms."""


class Catalogue:
    """Manifests of increasing versions.

    Args:
        renews_all: Whether each version has new keys for all tenants, not for one.
    """

    def __init__(self, renews_all):
        self._renews_all = renews_all
        self._random = random.Random(1)
        self._keys = [self._new_keys() for _ in range(TENANTS)]

    def _new_keys(self):
        return [f"{self._random.getrandbits(160):040x}" for _ in range(KEYS)]

    def encode(self, version):
        """Return the next manifest."""
        if self._renews_all:
            self._keys = [self._new_keys() for _ in self._keys]
        else:
            self._keys[version % TENANTS] = self._new_keys()
        document = manifest(version, [route("r", "/r/", "safe", "s")], ["s"])
        document["tenants"] = [
            {"name": f"org-{n}", "api_keys": keys, "rate_per_s": 0, "burst": 0}
            for n, keys in enumerate(self._keys)
        ]
        content = json.dumps(document, separators=(",", ":")).encode()
        if len(content) > MAX_BYTES:
            raise CannotRun(f"the manifest has {len(content)} bytes")
        return content


def send(site, version, content):
    """Send a change until it is acknowledged; return whether that was in time."""
    end = time.monotonic() + ACK
    while time.monotonic() < end:
        for name in HOSTS:
            answer = site.control(name, "PUT", "/-/config", content, timeout=3.0)
            if answer is not None and answer[0] == 200:
                return True
            shown = "no answer" if answer is None else answer[0]
            site.record.write(f"PUT {version} to {name}: {shown}")
            if time.monotonic() > end:
                break
        time.sleep(0.2)
    return False


def run(site, renews_all):
    """Return whether the rules held."""
    for name in HOSTS:
        site.start(name, bootstrap=True)
    first = manifest(1, [route("r", "/r/", "safe", "s")], ["s"])
    if site.put(first, list(HOSTS), 20.0) is None:
        raise CannotRun("the first manifest was not accepted")
    time.sleep(1.0)
    site.watch()
    catalogue = Catalogue(renews_all)
    acknowledged = 1
    end = time.monotonic() + CHANGING_TIME
    for version in range(2, 2 + CHANGES):
        if time.monotonic() > end or not send(site, version, catalogue.encode(version)):
            break
        acknowledged = version
    site.record.write(f"acknowledged up to version {acknowledged}")
    for name in HOSTS:
        size = (site.data_dir(name) / "agreement.log").stat().st_size
        site.record.write(f"{name}: {size} bytes of log")
    found = []
    read_until = time.monotonic() + READ_TIME

    def is_read():
        for name in HOSTS:
            if time.monotonic() > read_until:
                break
            version = site.read_version(name)
            if version is not None:
                found.append(version)
                site.record.write(f"GET from {name}: version {version}")
        return bool(found)

    until(is_read, READ_TIME, 1.0)
    ended = sum(count >= 3 for count in site.own_ends.values())
    site.record.write(f"ends without a signal: {site.own_ends}")
    if not found:
        site.record.write("the manifest doesn't come")
    return bool(found) and min(found) >= acknowledged and 2 * ended < len(HOSTS)


def main():
    """Run the case; return its exit status."""
    record = Record(HERE / "record.txt")
    renews_all = os.environ.get("TROUBLE", "1") != "0"
    site = Deployment(record, HOSTS, SEEDS, MEMORY_MB, DISK_MB)
    try:
        held = run(site, renews_all)
    except CannotRun as exc:
        record.write(f"could not run: {exc}")
        return 2
    finally:
        site.close()
    record.write("the rules held" if held else "a rule was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
