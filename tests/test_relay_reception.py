"""What is turned away before it is placed: unknown routes, and what comes too late."""

import json
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import Request
from bronzepoint_common.lag import Lag
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
        self.is_last = False
        self.has_read = False

    def say_last(self):
        self.is_last = True

    async def body(self):
        self.has_read = True
        return b""

    async def respond(self, status, headers, body):
        self.answer = status


def receive(follower, path, meanwhile=None, lag=0.0):
    """Return what a caller is told, and whether its request is to be served.

    Args:
        follower: What is in force.
        path: What is asked for.
        meanwhile: Called once the request has been read.
        lag: Seconds by which the host lags.
    """

    async def main():
        gate = Gate(follower, b"secret")
        answers = FinalAnswers(follower, Metrics())
        kept_up = Lag()
        kept_up.seconds = lag
        reception = Reception(
            follower, gate, Quotas(), answers, PlatformCodec(), kept_up
        )
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


class TestLaggingHost(unittest.TestCase):
    # The objective of the route is a second.
    @params((0.0, None, True), (0.2, None, True), (0.5, 503, False), (5.0, 503, False))
    def test_host_that_lags_takes_what_it_can_answer_in_time(self, lag, status, served):
        """Guards against a host that holds requests until nobody waits for them."""
        found = receive(Follower(CONFIRMED), "/safe/a", lag=lag)
        self.assertEqual(found, (status, served))


if __name__ == "__main__":
    unittest.main()
