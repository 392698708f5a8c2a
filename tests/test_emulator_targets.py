"""The stub targets as processes: batching, cache, cancellation, faults, orders."""

import http.client
import tempfile
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from bronzepoint_emulator.deployment import (
    Client,
    PortBlock,
    Targets,
    chat_body,
    new_key,
    new_nonce,
    saphan,
    wait_until,
)
from bronzepoint_emulator.host_list import HostListStub
from bronzepoint_schema.generated.emulator import EngineSpec, HostListPlan
from bronzepoint_schema.generated.platform import ListedState
from bronzepoint_schema.ids import TargetName

FENCED = "bkk-engine-1"
UNFENCED = "bkk-engine-2"
SMALL = "sgp-engine-1"
PATH = "/v1/chat/completions"
LONG_PROMPT = "the same words at every counter " * 20


def small_engine(spec: EngineSpec) -> EngineSpec:
    """Limit the engine SMALL to one slot, one queued request and four cached blocks."""
    if spec.name != SMALL:
        return spec
    return msgspec.structs.replace(spec, slots=1, queue=1, cache_blocks=4)


class TargetsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        layout = saphan()
        engines = [small_engine(spec) for spec in layout.engines]
        layout = msgspec.structs.replace(layout, engines=engines)
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        cls.ports = PortBlock()
        cls.ports.start()
        cls.addClassCleanup(cls.ports.close)
        cls.targets = Targets(layout, Path(cls.folder.name), cls.ports)
        cls.addClassCleanup(cls.targets.close, 5.0)
        cls.targets.start()

    def client(self, name):
        return Client(self.targets.target(name))

    def send(self, name, prompt, max_tokens=4, **headers):
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        body = chat_body("phrasebook", prompt, max_tokens, stream=False)
        return self.client(name).post(PATH, body, names)

    def stream(self, name, prompt, max_tokens=4, request_id=""):
        body = chat_body("phrasebook", prompt, max_tokens, stream=True)
        headers = {"X-Request-Id": request_id or new_nonce()}
        return self.client(name).open("POST", PATH, body, headers)

    def send_without_reading(self, name, prompt):
        connection = http.client.HTTPConnection(self.targets.target(name))
        body = msgspec.json.encode(chat_body("phrasebook", prompt, 1, stream=False))
        connection.request("POST", PATH, body)
        return connection

    def test_answer_echoes_nonce_and_request_id(self):
        nonce, request_id = new_nonce(), new_nonce()
        reply = self.send(FENCED, f"hello {nonce}", x_request_id=request_id)
        text = reply.json()["choices"][0]["message"]["content"]
        self.assertEqual(text, f"echo:{nonce} w1 w2 w3")
        self.assertEqual(reply.headers["x-request-id"], request_id)
        self.assertEqual(self.targets.runs(request_id), {FENCED: 1})

    def test_stream_ends_with_usage_and_done(self):
        with self.stream(FENCED, "hello", max_tokens=3) as stream:
            events = list(stream.events())
        self.assertEqual(len(events), 4)
        self.assertEqual(events[-1], "[DONE]")
        last = msgspec.json.decode(events[-2])
        self.assertEqual(last["usage"]["completion_tokens"], 3)

    def test_prefix_of_a_repeated_prompt_is_cached(self):
        prompt = new_nonce() + LONG_PROMPT
        first = self.send(FENCED, prompt).json()["usage"]
        second = self.send(FENCED, prompt).json()["usage"]
        self.assertEqual(first["cached_tokens"], 0)
        self.assertGreater(second["cached_tokens"], 100)

    def test_cache_evicts_blocks_beyond_its_size(self):
        self.send(SMALL, new_nonce() + LONG_PROMPT)
        exported = self.client(SMALL).get("/cache/export").json()
        self.assertEqual(len(exported["blocks"]), 4)

    def test_removal_events_are_published(self):
        def removed():
            events = self.client(SMALL).get("/cache/events?after=0").json()["events"]
            return [event for event in events if event["event"] == "removed"]

        self.send(SMALL, new_nonce() + LONG_PROMPT)
        self.send(SMALL, new_nonce() + LONG_PROMPT)
        self.assertTrue(wait_until(removed, "removal is published"))

    def test_full_engine_refuses_without_running(self):
        """A request refused because of a full queue must not count as run.

        One request runs and one waits, so the third is refused. If the engine ran it,
        the gateway would wrongly report it as not run.
        """
        self.targets.set_faults(SMALL, load_lag=0.0)
        running = self.stream(SMALL, "a", 5000)
        self.addCleanup(running.close)
        next(running.events())
        waiting = self.send_without_reading(SMALL, "b")
        self.addCleanup(waiting.close)
        load = self.client(SMALL)
        wait_until(
            lambda: load.get("/load").json()["waiting"] == 1, "one request waits"
        )
        request_id = new_nonce()
        reply = self.send(SMALL, "c", x_request_id=request_id)
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.targets.runs(request_id), {})

    def test_disconnected_caller_frees_the_slot(self):
        """A request must not occupy a slot after its caller has disconnected.

        The caller closes the connection after the first token, so the engine has to
        watch the connection while it generates tokens.
        """
        before = self.targets.counts(FENCED).cancelled
        stream = self.stream(FENCED, "hello", 5000)
        next(stream.events())
        stream.close()
        wait_until(
            lambda: self.targets.counts(FENCED).cancelled == before + 1, "cancelled"
        )

    def test_cancelled_stream_ends_with_an_error(self):
        request_id = new_nonce()
        with self.stream(FENCED, "hello", 5000, request_id) as stream:
            events = stream.events()
            next(events)
            reply = self.client(FENCED).post("/cancel", {"request_id": request_id})
            self.assertEqual(reply.status, 200)
            with self.assertRaises(http.client.IncompleteRead):
                list(events)

    def test_truncated_stream_raises_an_error(self):
        self.targets.set_faults(UNFENCED, cut_after=2)
        self.addCleanup(self.targets.set_faults, UNFENCED, cut_after=-1)
        with self.stream(UNFENCED, "hello", 6) as stream:
            with self.assertRaises(http.client.IncompleteRead):
                list(stream.events())

    def test_crossed_answer_has_another_request_id(self):
        self.targets.set_faults(UNFENCED, crossed=True)
        self.addCleanup(self.targets.set_faults, UNFENCED, crossed=False)
        reply = self.send(UNFENCED, "hello", x_request_id="mine")
        self.assertNotEqual(reply.headers["x-request-id"], "mine")

    def test_leaving_engine_reports_it(self):
        self.targets.set_faults(UNFENCED, leaving=True, load_lag=0.0)
        self.addCleanup(self.targets.set_faults, UNFENCED, leaving=False)
        self.assertEqual(self.send(UNFENCED, "hello").headers["x-leaving"], "1")
        self.assertTrue(self.client(UNFENCED).get("/load").json()["leaving"])

    @params((FENCED, 409), (UNFENCED, 202))
    def test_order_with_a_stale_fencing_number(self, name, status):
        """A former leader's order reaches an engine after one with a newer number."""
        client = self.client(name)
        newer = {"order": new_nonce(), "fencing_number": 7, "role": "decode"}
        older = {"order": new_nonce(), "fencing_number": 6, "role": "prefill"}
        self.assertEqual(client.post("/orders", newer).status, 202)
        self.assertEqual(client.post("/orders", newer).status, 200)
        self.assertEqual(client.post("/orders", older).status, status)
        role = "decode" if status == 409 else "prefill"
        self.assertEqual(client.get("/orders").json()["role"], role)

    def test_weight_fetches_are_rate_limited(self):
        client = self.client("cnx-engine-1")
        statuses = [
            client.post(
                "/orders",
                {"order": new_nonce(), "fencing_number": 1, "version": f"v{number}"},
            ).status
            for number in range(6)
        ]
        self.assertIn(202, statuses)
        self.assertIn(429, statuses)
        store = Client(self.targets.platform.weight_store)
        self.assertEqual(store.get("/counts").json()["limited"], statuses.count(429))

    def test_service_counts_runs_by_request_key_and_nonce(self):
        nonce, key, request_id = new_nonce(), new_key(), new_nonce()
        headers = {"X-Request-Id": request_id, "Idempotency-Key": key}
        client = self.client("bkk-phrases")
        for _ in range(2):
            reply = client.post("/saved", {"nonce": nonce}, headers)
        self.assertEqual(reply.json()["echo"], nonce)
        self.assertEqual(self.targets.nonce_runs(nonce), {"bkk-phrases": 2})
        counts = self.targets.counts("bkk-phrases")
        self.assertEqual(counts.keys[key], 2)
        self.assertEqual(counts.requests[request_id], 2)

    def test_host_list_shows_a_change(self):
        def state():
            hosts = Client(self.targets.platform.host_list).get("/hosts").json()
            return {host["name"]: host["state"] for host in hosts["hosts"]}[SMALL]

        self.targets.list_as(SMALL, ListedState.leaving)
        wait_until(lambda: state() == "leaving", "the list shows the change")


class HostListTest(unittest.TestCase):
    @params((3600.0, ListedState.live), (0.0, ListedState.leaving))
    def test_list_shows_changes_after_the_lag(self, lag, state):
        plan = HostListPlan(listen="", hosts=[TargetName(SMALL)], lag=lag)
        host_list = HostListStub(plan)
        host_list.change(TargetName(SMALL), ListedState.leaving)
        self.assertEqual([host.state for host in host_list.listed().hosts], [state])
