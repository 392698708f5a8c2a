"""Tests of reading the platform's list of targets and the engines' load reports."""

import json
import unittest
from unittest import mock

import curio
import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzepoint_common.http import HttpClient, HttpLimits, HttpServer
from bronzepoint_emulator.deployment import PortBlock
from bronzepoint_node.placement import (
    EngineReport,
    ReportOfOtherStart,
    ReportUnavailable,
    ReportUnreadable,
)
from bronzepoint_platform import _list
from bronzepoint_platform._incarnation import incarnation_name, listed_id
from bronzepoint_platform._list import ListClient
from bronzepoint_platform._list_page import PageUnreadable, read_page
from bronzepoint_platform._reports import ReportClient
from tests._platform_site import StandInTarget
from tests.test_http_client_targets import RawServer
from tests.test_http_server import read_until

REPORT = {"running": 2, "waiting": 1, "kv_used": 30, "kv_total": 90}


def entry(name="i-1", **changes):
    """Return a list entry; a change to None removes the field."""
    listed = StandInTarget(name, "10.0.0.1", 80).listed()
    fields = {**listed, "stage": "both", "models": [{"name": "m"}], **changes}
    return {key: value for key, value in fields.items() if value is not None}


def page(*entries, token=None):
    """Return an encoded page; entries of type bytes are inserted unchanged."""
    parts = [e if isinstance(e, bytes) else json.dumps(e).encode() for e in entries]
    end = b'],"next_token":%s}' % json.dumps(token).encode()
    return b'{"instances":[' + b",".join(parts) + end


def names(found):
    return [instance.id for instance in found.instances]


def _is_readable(body):
    try:
        read_page(body)
    except PageUnreadable:
        return False
    return True


INVALID_ENTRIES = (
    *(entry(**{key: None}) for key in ("id", "service", "address", "zone")),
    *(entry(**{key: None}) for key in ("slots", "state", "cold_left_ms")),
    entry(id=7),
    entry(id=""),
    entry(address="nowhere"),
    entry(slots="6"),
    entry(slots=0),
    entry(state="resting"),
    entry(cold_left_ms=-1),
    entry(born=1.5),
    entry(born="1"),
    entry(zone=["x"]),
    entry(version=1),
    # A message between hosts can't carry these numbers.
    entry(cold_left_ms=1e20),
    entry(slots=2**70),
    entry(born=2**70),
    entry(born=-1),
    entry(address="nowhere:80"),
    entry(address="10.0.0.999:80"),
    entry(address="10.0.0.1:65536"),
    entry(address="10.0.0.1:80\n"),
    5,
    None,
    [],
    "i-1",
    b'{"id":"\xff\xfe"}',
    b'{"id":"i-1","more":%s%s}' % (b"[" * 3000, b"]" * 3000),
    b'%s"}"%s' % (b'{"id":' * 3000, b"}" * 3000),
    # The following ones make the whole page invalid JSON.
    b'{"id":"i-1","service":',
    b"{]",
    b'{"id":"i-1","slots":\x01}',
    b"\xff\xff",
)


class TestPages(unittest.TestCase):
    @params(*INVALID_ENTRIES)
    def test_invalid_entry_does_not_affect_others(self, invalid):
        """Guards against a single invalid entry that makes the whole list unreadable.

        If the page is decoded as a whole, an entry without some field keeps the former
        list in effect: ended targets still get requests, and new ones get none.
        """
        for valid in ([], [entry("i-2")], [entry("i-2"), entry("i-3")]):
            expected = [e["id"] for e in valid]
            for at in range(len(valid) + 1):
                entries = [*valid[:at], invalid, *valid[at:]]
                found = read_page(page(*entries, token="p-5"))
                self.assertEqual((names(found), found.next_token), (expected, "p-5"))

    def test_truncated_page_is_not_read_as_a_shorter_list(self):
        """Guards against targets that are dropped since the list was cut off."""
        body = page(entry("i-1"), entry("i-2", born=7), token="p-5")
        read = [size for size in range(len(body)) if _is_readable(body[:size])]
        self.assertEqual(read, [])

    @given(st.lists(st.none() | st.sampled_from(INVALID_ENTRIES), max_size=8))
    def test_any_page_gives_exactly_its_whole_entries(self, drawn):
        entries = [
            entry(f"i-{number}") if invalid is None else invalid
            for number, invalid in enumerate(drawn)
        ]
        expected = [f"i-{n}" for n, invalid in enumerate(drawn) if invalid is None]
        self.assertEqual(names(read_page(page(*entries))), expected)

    @given(st.binary(max_size=60))
    def test_any_bytes_give_a_page_or_an_error_that_says_so(self, body):
        try:
            found = read_page(body)
        except PageUnreadable as exc:
            self.assertTrue(str(exc))
        else:
            self.assertEqual(found.instances, [])

    @given(
        st.sampled_from(sorted(entry())),
        st.integers() | st.floats() | st.text() | st.lists(st.integers()),
    )
    def test_any_value_of_a_field_gives_a_target_that_can_be_sent(self, name, value):
        """Guards against a value in the list that no message to a host can carry."""
        for instance in read_page(page(entry(**{name: value}))).instances:
            msgspec.msgpack.encode(_list._target(instance))

    @params("10.0.0.1:1", "255.255.255.255:65535", "127.0.0.9:9999", "1.2.3.4:60000")
    def test_address_that_can_be_connected_to(self, address):
        (found,) = read_page(page(entry(address=address))).instances
        self.assertEqual(found.address, address)

    def test_object_without_an_end_does_not_hide_other_entries(self):
        """Guards against a page that seems whole though its last entry has no end."""
        body = b'{"instances":[%s,%s],"next_token":null}'
        entries = json.dumps(entry()).encode(), b'{"id":' * 3000
        with self.assertRaises(PageUnreadable):
            read_page(body % entries)

    def test_reason_names_the_invalid_field(self):
        (found,) = read_page(page(entry(slots="6"))).unreadable
        self.assertIn("slots", found.reason)
        self.assertIn("i-1", found.text)


class FixedAnswerServer:
    """A server that gives the same answer to every request."""

    def __init__(self, body, status=200):
        self.body, self.status = body, status
        self.ports = PortBlock()
        self.client = HttpClient(HttpLimits(), 1.0)

    async def __aenter__(self):
        self.ports.start()
        self.address = self.ports.address()
        self.server = HttpServer(self._answer, HttpLimits())
        await self.server.start(self.address)
        return self

    async def __aexit__(self, *exc_info):
        await self.client.close()
        await self.server.close(0)
        self.ports.close()

    async def _answer(self, exchange):
        await exchange.respond(self.status, {}, self.body)


class TestListClient(unittest.TestCase):
    @params(
        (({"id": "i-1"},), ["i-1"]),
        (({"id": "i-1", "born": 5},), ["i-1~5"]),
        # The target has crashed and is still listed, next to its new start.
        (({"id": "i-1", "born": 5}, {"id": "i-1", "born": 9}), ["i-1~9"]),
        (({"id": "i-1", "born": 9}, {"id": "i-1", "born": 5}), ["i-1~9"]),
        (({"id": "i-1", "born": 5}, {"id": "i-2", "born": 5}), ["i-1~5", "i-2~5"]),
    )
    def test_each_start_is_a_target_of_its_own(self, changes, expected):
        async def main():
            body = page(*(entry(**change) for change in changes))
            async with FixedAnswerServer(body) as server:
                return await ListClient(server.client, server.address).read()

        found = curio.run(main)
        self.assertEqual([target.incarnation for target in found], expected)

    def test_pages_and_reports_without_a_length_are_read(self):
        """Guards against targets without load because their answers name no length."""

        async def play(sock):
            head = await read_until(sock, b"\r\n\r\n")
            is_list = head.startswith(b"GET /instances")
            body = page(entry()) if is_list else json.dumps(REPORT).encode()
            await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + body)

        async def main():
            client = HttpClient(HttpLimits(), 1.0)
            async with RawServer(play) as server:
                targets = await ListClient(client, server.address).read()
                report = await ReportClient(client).read(server.address, "i-1")
            await client.close()
            return [target.incarnation for target in targets], report

        self.assertEqual(curio.run(main), (["i-1"], EngineReport(2, 1, 30, 90)))

    @params(({"version": "v1.1"}, "v1.1"), ({}, ""))
    def test_software_version_is_read(self, changes, expected):
        async def main():
            async with FixedAnswerServer(page(entry(**changes))) as server:
                return await ListClient(server.client, server.address).read()

        self.assertEqual([t.software_version for t in curio.run(main)], [expected])

    def test_invalid_entry_is_logged_once(self):
        async def main():
            async with FixedAnswerServer(
                page(entry(state="odd"), entry("i-2"))
            ) as server:
                reader = ListClient(server.client, server.address)
                for _ in range(3):
                    await reader.read()

        with mock.patch.object(_list, "_log") as log:
            curio.run(main)
        (call,) = log.warning.call_args_list
        self.assertIn("state", call.kwargs["reason"])

    @params(("i-1", None), ("i-1", 0), ("i~1", 1767225600000))
    def test_requests_name_the_listed_id(self, name, born):
        self.assertEqual(listed_id(incarnation_name(name, born)), name)


class TestReports(unittest.TestCase):
    @params(
        ("i-1~5", {**REPORT, "born": 5}, EngineReport(2, 1, 30, 90)),
        ("i-1", {**REPORT, "born": 5}, EngineReport(2, 1, 30, 90)),
        ("i-1~5", REPORT, EngineReport(2, 1, 30, 90)),
        ("i-1~5", {**REPORT, "born": 6}, ReportOfOtherStart),
        ("i-1~5", {**REPORT, "born": "5"}, ReportUnreadable),
        ("i-1~5", {**REPORT, "running": None}, ReportUnreadable),
        ("i-1~5", {"running": 1}, ReportUnreadable),
        ("i-1~5", {**REPORT, "waiting": 2**64}, ReportUnreadable),
        ("i-1~5", {**REPORT, "kv_total": -1}, ReportUnreadable),
        ("i-1~5", [], ReportUnreadable),
    )
    def test_report_is_checked_for_restarts(self, incarnation, body, expected):
        found = self._read(incarnation, json.dumps(body).encode(), 200)
        self.assertEqual(found, expected)

    @params(503, 404)
    def test_error_status(self, status):
        self.assertEqual(self._read("i-1", b"{}", status), ReportUnavailable)

    def _read(self, incarnation, body, status):
        async def main():
            async with FixedAnswerServer(body, status) as server:
                reports = ReportClient(server.client)
                return await reports.read(server.address, incarnation)

        try:
            return curio.run(main)
        except (ReportUnavailable, ReportUnreadable, ReportOfOtherStart) as exc:
            return type(exc)
