"""A route that a host doesn't know, while its catalogue may be an old one."""

import json
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import Request
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.relay import FinalAnswers, Gate, Reception
from bronzepoint_platform._codec import PlatformCodec
from bronzepoint_platform._manifest import read_manifest
from tests._platform_site import manifest

CONFIRMED, OLD = 0.1, 9.0
"""Seconds since the last confirmation of the catalogue."""
DEADLINE_MS = "400"


class Follower:
    """What is in force, and how long ago that was confirmed."""

    targets = ()
    targets_read_at = 0.0

    def __init__(self, age):
        self.catalogue = read_manifest(json.dumps(manifest(1)).encode())
        self.age = age

    def confirmed_age(self):
        return self.age


class Exchange:
    """A caller's connection; keeps its answer."""

    started = False
    answer = None

    def __init__(self, path):
        headers = {"host": "h.example", "x-bronzepoint-deadline-ms": DEADLINE_MS}
        self.request = Request("POST", path, {}, headers, path)
        self.peer = "10.0.0.1:1"

    async def body(self):
        return b""

    async def respond(self, status, headers, body):
        self.answer = status


def receive(follower, path, meanwhile=None):
    """Return what a caller is told, and whether its request is to be served."""

    async def main():
        gate = Gate(follower, b"secret")
        answers = FinalAnswers(follower, Metrics())
        quotas = Quotas()
        reception = Reception(follower, gate, quotas, answers, PlatformCodec())
        exchange = Exchange(path)
        task = await curio.spawn(reception.receive, exchange, False)
        await curio.sleep(0)
        if meanwhile:
            meanwhile()
        call = await task.join()
        return exchange.answer, call is not None

    return curio.run(main)


class Quotas:
    """Limits nobody."""

    def take(self, organisation, tokens):
        return None


class TestUnknownRoute(unittest.TestCase):
    @params(
        (CONFIRMED, "/nowhere/a", 404, False),
        (OLD, "/nowhere/a", 503, False),
        (OLD, "/safe/a", None, True),
    )
    def test_only_a_confirmed_catalogue_denies(self, age, path, status, served):
        """Guards against 404 for a route that a newer version has added."""
        self.assertEqual(receive(Follower(age), path), (status, served))

    def test_route_of_a_version_that_arrives_meanwhile_is_served(self):
        follower = Follower(OLD)

        def arrive():
            newer = manifest(2)
            newer["routes"][0]["path_prefix"] = "/new/"
            follower.catalogue = read_manifest(json.dumps(newer).encode())
            follower.age = CONFIRMED

        self.assertEqual(receive(follower, "/new/a", arrive), (None, True))


if __name__ == "__main__":
    unittest.main()
