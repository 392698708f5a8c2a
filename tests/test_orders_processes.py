"""Orders of real hosts: a new lease holder takes over from a frozen one."""

import unittest

import msgspec

from bronzepoint_emulator.deployment import Client, Deployment, wait_until
from tests import _golden_site

ORDERS = {"poll": "0.1", "load_interval": "0.05", "takeover_wait": "1.0"}
KEEP_ALL_DOWN = {"keep_share": "0"}


def engine_version(dep, target):
    """Return the version that an engine has loaded, "" while it loads."""
    state = Client(dep.targets.target(target)).get("/orders").json()
    return "" if state["loading"] else state["version"]


def lease_holder(dep, names):
    """Return the host that reports that it holds the lease."""
    return next(
        (host for host in names if dep.operator(host).status()["fencing_number"]), None
    )


def sends_orders(dep, host):
    """Return whether a host's last check of its lease allowed it to send orders."""
    return dep.operator(host).client.get("/v1/admin/orders").json()["holder"]


class TakeoverTest(unittest.TestCase):
    def declare(self, dep, host, item_version, model_version):
        item = next(item for item in dep.catalogue() if item.name == "clinic")
        changed = msgspec.structs.replace(
            item, version=item_version, model_version=model_version
        )
        dep.operator(host).put(changed)

    def test_frozen_holder_changes_nothing_after_it_resumes(self):
        """A frozen holder must not make an engine go back to a replaced version.

        The holder is partitioned and frozen for longer than its lease, and another
        holder has the engine load the next version. The first holder resumes, still
        partitioned, with the old catalogue. No message can show it that another host
        leads, so it must detect from its own clock that its lease has ended.
        """
        settings = {"orders": ORDERS | KEEP_ALL_DOWN}
        site = msgspec.structs.replace(_golden_site.layout(), settings=settings)
        dep = Deployment(site, proxied=True)
        self.addCleanup(dep.close)
        dep.start()
        voters = [host.name for host in site.voters()]
        first = wait_until(lambda: lease_holder(dep, voters), "a host leads")
        self.declare(dep, first, 2, "2")
        wait_until(lambda: engine_version(dep, "bkk-good") == "2", "version 2 is up")
        # Partition it first, or messages sent meanwhile would inform it on resume.
        dep.isolate_host(first)
        dep.freeze(first)
        others = [name for name in voters if name != first]
        second = wait_until(lambda: lease_holder(dep, others), "another host leads")
        self.declare(dep, second, 3, "3")
        wait_until(lambda: engine_version(dep, "bkk-good") == "3", "version 3 is up")
        dep.thaw(first)
        wait_until(lambda: not sends_orders(dep, first), "the first holder has stopped")
        self.assertEqual(engine_version(dep, "bkk-good"), "3")
        orders = dep.targets.counts("bkk-good").orders
        versions = [order.version for order in orders]
        self.assertEqual(versions, ["2", "3"])
        numbers = [order.fencing_number for order in orders]
        self.assertLess(numbers[0], numbers[1])
