"""``python -m bronzepoint_emulator.slopes.directory``: cost of a directory answer.

Rows: processor time of one answer by the number of hosts in the region.
"""

import time

import msgspec
from msgspec import Struct

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.slopes._membership_plan import MEASURED_REGION, MembershipPlan
from bronzepoint_node.directory import Directory
from bronzepoint_node.membership import Membership
from bronzepoint_schema.ids import HostName, RegionName

HOSTS = [3, 8, 16, 30, 64, 100]
ANSWERS = 5000
"""Number of answers whose time is averaged."""
_TTL = 5.0
"""Seconds for which an answer is valid."""


class DirectoryRow(Struct):
    """Measurement of a directory answer, without network."""

    hosts: int
    answer_us: float
    answer_bytes: int


def measure(hosts: int) -> DirectoryRow:
    """Measure the answers of a host in a region of ``hosts`` hosts.

    The hosts are known from the settings but not live, which costs the same.
    """
    names = [f"{MEASURED_REGION}-{number}" for number in range(hosts)]
    plan = MembershipPlan({name: "127.0.0.1:9" for name in names}, names[0])
    settings = plan.settings(names[0])
    peers = Peers(HostName(names[0]), settings.listen.peer, plan.key(), Metrics())
    membership = Membership(settings, peers, Metrics())
    directory = Directory(membership, _TTL)
    home = RegionName(MEASURED_REGION)
    answer = b""
    started = time.process_time()
    for _ in range(ANSWERS):
        answer = msgspec.json.encode(directory.hosts_for(home))
    spent = time.process_time() - started
    return DirectoryRow(hosts, round(1e6 * spent / ANSWERS, 1), len(answer))


def main() -> None:
    """Print one JSON line for each measurement."""
    for hosts in HOSTS:
        print(msgspec.json.encode(measure(hosts)).decode(), flush=True)


if __name__ == "__main__":
    main()
