"""Requests refused before placement: unknown routes, and requests to lagging hosts."""

import json
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import Request
from bronzepoint_common.lag import Lag
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.relay import (
    AnswerWriter,
    Authenticator,
    RequestIntake,
    ResumeCheck,
)
from bronzepoint_platform._codec import PlatformCodec
from bronzepoint_platform._manifest import read_manifest
from tests._platform_site import manifest

CONFIRMED, OUTDATED = 0.1, 9.0
"""Seconds since the catalogue was confirmed as current: recent, and too old."""
DEADLINE_MS = "400"
"""Deadline of the requests in milliseconds, as the header specifies it."""


class SyncClient:
    """A catalogue, and the seconds since it was confirmed as current."""

    targets = ()
    targets_read_at = 0.0

    def __init__(self, age):
        self.catalogue = read_manifest(json.dumps(manifest(1)).encode())
        self.age = age

    def confirmed_age(self):
        return self.age


class Exchange:
    """A caller's connection; records the status of the answer."""

    started = False
    answer = None

    def __init__(self, path):
        headers = {"host": "h.example", "x-bronzepoint-deadline-ms": DEADLINE_MS}
        self.request = Request("POST", path, {}, headers, path)
        self.peer = "10.0.0.1:1"
        self.is_last = False
        self.has_read = False

    def announce_close(self):
        self.is_last = True

    async def body(self):
        self.has_read = True
        return b""

    async def respond(self, status, headers, body):
        self.answer = status


def receive(sync_client, path, meanwhile=None, lag=0.0):
    """Return the status of a refusal, and whether the request is to be served.

    Args:
        sync_client: Source of the catalogue.
        path: Path of the request.
        meanwhile: Called while the request is being processed.
        lag: Lag of the host's event loop, in seconds.
    """

    async def main():
        authenticator = Authenticator(sync_client, b"secret")
        answer_writer = AnswerWriter(sync_client, Metrics())
        loop_lag = Lag()
        loop_lag.seconds = lag
        request_intake = RequestIntake(
            sync_client,
            authenticator,
            Quotas(),
            answer_writer,
            PlatformCodec(),
            loop_lag,
            ResumeCheck(sync_client, Metrics()),
        )
        exchange = Exchange(path)
        task = await curio.spawn(request_intake.receive, exchange, False)
        await curio.sleep(0)
        if meanwhile:
            meanwhile()
        call = await task.join()
        return exchange.answer, call is not None

    return curio.run(main)


class Quotas:
    """Applies no quota to any request."""

    def take(self, organisation, tokens):
        return None


class TestUnknownRoute(unittest.TestCase):
    @params(
        (CONFIRMED, "/nowhere/a", 404, False),
        (OUTDATED, "/nowhere/a", 503, False),
        (OUTDATED, "/safe/a", None, True),
    )
    def test_404_only_with_a_confirmed_catalogue(self, age, path, status, served):
        """Guards against 404 for a route that a newer version has added."""
        self.assertEqual(receive(SyncClient(age), path), (status, served))

    def test_route_of_a_version_that_arrives_meanwhile_is_served(self):
        sync_client = SyncClient(OUTDATED)

        def arrive():
            newer = manifest(2)
            newer["routes"][0]["path_prefix"] = "/new/"
            sync_client.catalogue = read_manifest(json.dumps(newer).encode())
            sync_client.age = CONFIRMED

        self.assertEqual(receive(sync_client, "/new/a", arrive), (None, True))


class TestLaggingHost(unittest.TestCase):
    # The objective of the route is one second.
    @params((0.0, None, True), (0.2, None, True), (0.5, 503, False), (5.0, 503, False))
    def test_lagging_host_accepts_only_requests_it_can_answer(
        self, lag, status, served
    ):
        """Guards against a lagging host that accepts requests and answers them only
        after their callers have given up."""
        found = receive(SyncClient(CONFIRMED), "/safe/a", lag=lag)
        self.assertEqual(found, (status, served))


if __name__ == "__main__":
    unittest.main()
