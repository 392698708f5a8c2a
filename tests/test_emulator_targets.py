"""The stand-in targets as processes: batching, cache, cancel, faults, orders."""

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
from bronzepoint_emulator.host_list import StandInHostList
from bronzepoint_schema.generated.emulator import EngineSpec, HostListPlan
from bronzepoint_schema.generated.platform import ListedState
from bronzepoint_schema.ids import TargetName

FENCED = "bkk-engine-1"
UNFENCED = "bkk-engine-2"
SMALL = "sgp-engine-1"
PATH = "/v1/chat/completions"
LONG_PROMPT = "the same words at every counter " * 20


def small_engine(spec: EngineSpec) -> EngineSpec:
    """Leave one engine a single slot, one waiting place and a tiny cache."""
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

    def ask(self, name, prompt, max_tokens=4, **headers):
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
        reply = self.ask(FENCED, f"hello {nonce}", x_request_id=request_id)
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

    def test_second_prompt_finds_its_prefix_cached(self):
        prompt = new_nonce() + LONG_PROMPT
        first = self.ask(FENCED, prompt).json()["usage"]
        second = self.ask(FENCED, prompt).json()["usage"]
        self.assertEqual(first["cached_tokens"], 0)
        self.assertGreater(second["cached_tokens"], 100)

    def test_small_cache_forgets_what_was_used_longest_ago(self):
        self.ask(SMALL, new_nonce() + LONG_PROMPT)
        exported = self.client(SMALL).get("/cache/export").json()
        self.assertEqual(len(exported["blocks"]), 4)

    def test_cache_events_come_late_and_name_the_blocks(self):
        def removed():
            events = self.client(SMALL).get("/cache/events?after=0").json()["events"]
            return [event for event in events if event["event"] == "removed"]

        self.ask(SMALL, new_nonce() + LONG_PROMPT)
        self.ask(SMALL, new_nonce() + LONG_PROMPT)
        self.assertTrue(wait_until(removed, "removal is published"))

    def test_full_engine_refuses_without_running(self):
        """A caller is refused; the refusal must be true.

        Symptom: a gateway says "not run" for a request that an engine ran. Sequence:
        one request runs, one waits, a third finds the queue full. Cause: an engine
        that counts or runs what it refuses.
        """
        self.targets.set_faults(SMALL, load_lag=0.0)
        running = self.stream(SMALL, "a", 5000)
        self.addCleanup(running.close)
        next(running.events())
        waiting = self.send_without_reading(SMALL, "b")
        self.addCleanup(waiting.close)
        load = self.client(SMALL)
        wait_until(lambda: load.get("/load").json()["waiting"] == 1, "one waits")
        request_id = new_nonce()
        reply = self.ask(SMALL, "c", x_request_id=request_id)
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self.targets.runs(request_id), {})

    def test_leaving_caller_frees_the_slot(self):
        """Work whose caller has left goes on using a slot.

        Sequence: a caller takes the first token and closes. Cause: nobody watches the
        connection while tokens are generated.
        """
        before = self.targets.counts(FENCED).cancelled
        stream = self.stream(FENCED, "hello", 5000)
        next(stream.events())
        stream.close()
        wait_until(
            lambda: self.targets.counts(FENCED).cancelled == before + 1, "cancelled"
        )

    def test_cancelled_stream_is_not_ended_as_whole(self):
        request_id = new_nonce()
        with self.stream(FENCED, "hello", 5000, request_id) as stream:
            events = stream.events()
            next(events)
            reply = self.client(FENCED).post("/cancel", {"request_id": request_id})
            self.assertEqual(reply.status, 200)
            with self.assertRaises(http.client.IncompleteRead):
                list(events)

    def test_cut_stream_is_noticed(self):
        self.targets.set_faults(UNFENCED, cut_after=2)
        self.addCleanup(self.targets.set_faults, UNFENCED, cut_after=-1)
        with self.stream(UNFENCED, "hello", 6) as stream:
            with self.assertRaises(http.client.IncompleteRead):
                list(stream.events())

    def test_crossed_answer_carries_another_id(self):
        self.targets.set_faults(UNFENCED, crossed=True)
        self.addCleanup(self.targets.set_faults, UNFENCED, crossed=False)
        reply = self.ask(UNFENCED, "hello", x_request_id="mine")
        self.assertNotEqual(reply.headers["x-request-id"], "mine")

    def test_leaving_engine_says_so(self):
        self.targets.set_faults(UNFENCED, leaving=True, load_lag=0.0)
        self.addCleanup(self.targets.set_faults, UNFENCED, leaving=False)
        self.assertEqual(self.ask(UNFENCED, "hello").headers["x-leaving"], "1")
        self.assertTrue(self.client(UNFENCED).get("/load").json()["leaving"])

    @params((FENCED, 409), (UNFENCED, 202))
    def test_order_with_an_old_number(self, name, status):
        """An order of a former leader reaches an engine after a newer one."""
        client = self.client(name)
        newer = {"order": new_nonce(), "fencing_number": 7, "role": "decode"}
        older = {"order": new_nonce(), "fencing_number": 6, "role": "prefill"}
        self.assertEqual(client.post("/orders", newer).status, 202)
        self.assertEqual(client.post("/orders", newer).status, 200)
        self.assertEqual(client.post("/orders", older).status, status)
        role = "decode" if status == 409 else "prefill"
        self.assertEqual(client.get("/orders").json()["role"], role)

    def test_weights_are_fetched_within_the_rate(self):
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
        wait_until(lambda: state() == "leaving", "the list shows it")


class HostListTest(unittest.TestCase):
    @params((3600.0, ListedState.live), (0.0, ListedState.leaving))
    def test_list_lags(self, lag, state):
        plan = HostListPlan(listen="", hosts=[TargetName(SMALL)], lag=lag)
        host_list = StandInHostList(plan)
        host_list.change(TargetName(SMALL), ListedState.leaving)
        self.assertEqual([host.state for host in host_list.listed().hosts], [state])
