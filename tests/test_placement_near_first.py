"""Targets in the data center of the asking host, and long prompts beside short ones."""

import unittest

import msgspec
from nose2.tools import params

from bronzepoint_node.fleet import EngineProperties, ServedService
from bronzepoint_node.placement import LocalPlacement, Prompt, PromptPart
from bronzepoint_node.placement._scheduler import _read_query, make_query
from bronzepoint_schema.generated.scheduling import TargetAsk
from tests.test_placement_placer import Site, info

SLOTS = 16
SERVICE = ServedService(
    "s", "/h", 100, engine=EngineProperties(SLOTS, 10_000_000, event_tokens=5)
)


def _site():
    return Site(info("t1", "a-1"), info("t2", "a-2"), service=SERVICE)


def _load(site, name, requests, unread=0):
    target = site.table.get(name)
    for number in range(requests):
        own = Prompt((PromptPart("x", unread),), unread, 100, 50) if unread else None
        target.begin(f"{name}-{number}", own, 0, site.now)


def _request(site, near, tokens=600, number=0):
    own = PromptPart(f"own-{number}", tokens)
    request = site.make_request(prompt=Prompt((own,), tokens, 100, 50))
    local = site.placer.local_request(request)
    local.data_center = near
    return local


def _chosen(site, near, tokens=600, times=20):
    """Return the targets that one request may get, without counting it there."""
    found = set()
    for number in range(times):
        request = _request(site, near, tokens, number)
        result = site.placer.local_selector.choose(request, site.now)
        assert isinstance(result, LocalPlacement)
        found.add(result.target.info.incarnation)
    return found


class TestNearFirst(unittest.TestCase):
    def setUp(self):
        self.site = _site()
        # The score is compared with a margin that is a part of the usual duration.
        self.site.placer.estimates.times("s").hold = 0.5

    @params(("a-1", {"t1"}), ("a-2", {"t2"}), ("", {"t1", "t2"}), ("b-1", {"t1", "t2"}))
    def test_idle_target_nearby_is_preferred(self, near, expected):
        """Guards against paid bytes between data centers without any gain."""
        self.assertEqual(_chosen(self.site, near), expected)

    def test_full_data_center_uses_the_other_one(self):
        """Guards against refusals while another data center has free targets."""
        _load(self.site, "t1", SLOTS)
        self.assertEqual(_chosen(self.site, "a-1"), {"t2"})

    def test_much_faster_target_elsewhere_is_taken(self):
        """Guards against waiting behind long prompts to save bytes."""
        _load(self.site, "t1", 2, unread=10_000)
        self.assertEqual(_chosen(self.site, "a-1"), {"t2"})

    def test_prompt_is_not_copied_between_data_centers(self):
        """Guards against paid copies, which are larger than the prompt itself."""
        service = ServedService(
            "s",
            "/h",
            100,
            engine=EngineProperties(
                SLOTS, 10_000_000, event_tokens=5, token_bytes=1.0, link_bytes=1e9
            ),
        )
        site = Site(info("t1", "a-1"), info("t2", "a-2"), service=service)
        parts = (PromptPart("shared", 6000), PromptPart("own", 100))
        prompt = Prompt(parts, 6100, 100, 50)
        site.table.get("t2").memory.note_used(prompt)
        _load(site, "t2", SLOTS)
        for near, expected in (("", "t2"), ("a-1", None)):
            request = _request(site, near)
            request.prompt = prompt
            found = site.placer.local_selector.choose(request, site.now)
            source = found.fetch_from.info.incarnation if found.fetch_from else None
            self.assertEqual((found.target.info.incarnation, source), ("t1", expected))
            site.table.get("t1").memory.__init__(10_000_000)

    def test_scheduler_knows_the_data_center_of_the_asking_host(self):
        request = _request(self.site, "a-2")
        query = make_query(request, 1, 0.0, self.site.now)
        encoded = msgspec.msgpack.encode(query)
        received = msgspec.msgpack.decode(encoded, type=TargetAsk)
        self.assertEqual(_read_query(received, self.site.now).data_center, "a-2")

    def test_query_of_an_earlier_version_prefers_none(self):
        query = make_query(_request(self.site, "a-2"), 1, 0.0, self.site.now)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(query))
        # The kind comes before the fields.
        known = 1 + TargetAsk.__struct_fields__.index("data_center")
        shorter = msgspec.msgpack.encode(fields[:known])
        received = msgspec.msgpack.decode(shorter, type=TargetAsk)
        self.assertEqual(_read_query(received, self.site.now).data_center, "")


class TestLongBesideShort(unittest.TestCase):
    def setUp(self):
        self.site = _site()
        self.site.placer.estimates.times("s").hold = 0.2

    def test_long_prompt_goes_where_few_streams_run(self):
        """Guards against many streams that pause while one long prompt is read."""
        _load(self.site, "t1", 5)
        _load(self.site, "t2", 2)
        self.assertEqual(_chosen(self.site, "", tokens=30_000), {"t2"})

    def test_long_prompt_is_served_where_many_streams_run_everywhere(self):
        """Guards against a long prompt that waits for a target without streams."""
        _load(self.site, "t1", 7)
        _load(self.site, "t2", 7)
        for _ in range(5):
            request = _request(self.site, "", tokens=100_000)
            found = self.site.placer.local_selector.choose(request, self.site.now)
            self.assertIsInstance(found, LocalPlacement)
