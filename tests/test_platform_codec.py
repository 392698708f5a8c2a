"""Tests of the translation of the platform's headers, manifest and settings."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from bronzepoint_common.http import BadRequest, Request
from bronzepoint_node.fleet import RouteKind
from bronzepoint_node.placement import PromptPart
from bronzepoint_node.relay import CopyInstructions, TargetVerdict
from bronzepoint_platform._codec import MAX_REST, PlatformCodec
from bronzepoint_platform._manifest import ManifestInvalid, read_manifest
from bronzepoint_platform._settings import SettingsUnreadable, read_settings
from tests._platform_site import manifest

CODEC = PlatformCodec()
ID = "x-bronzepoint-request-id"


def head(**headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    names = {"host": "h.example:80", ID: "1", **names}
    return CODEC.read_request(Request("POST", "/a", {}, names, "/a"))


class TestRequestHeads(unittest.TestCase):
    def test_headers_of_a_generation_request(self):
        found = head(
            x_bronzepoint_token_usage="1460,80",
            x_bronzepoint_prompt_prefix="5c:800, 91:410,e4:250",
            x_bronzepoint_length_hint="33",
            x_bronzepoint_deadline_ms="5000",
            last_event_id="12",
        )
        parts = (PromptPart("5c", 800), PromptPart("91", 410), PromptPart("e4", 250))
        prompt = found.prompt
        self.assertEqual((prompt.parts, prompt.tokens), (parts, 1460))
        self.assertEqual((prompt.max_output, prompt.expected_output), (80, 33))
        self.assertEqual(prompt.shared_key, "91")
        self.assertEqual((found.host, found.deadline), ("h.example", 5.0))
        self.assertEqual(found.last_event, "12")

    @params(
        {"x_bronzepoint_deadline_ms": "soon"},
        {"x_bronzepoint_token_usage": "many"},
        {"x_bronzepoint_prompt_prefix": "5c:x"},
        # A message to the scheduler can't carry these numbers.
        {"x_bronzepoint_token_usage": "9" * 20},
        {"x_bronzepoint_token_usage": f"{2**53},1"},
        {"x_bronzepoint_prompt_prefix": f"5c:{2**70}"},
        {"x_bronzepoint_token_usage": "1,1", "x_bronzepoint_length_hint": "inf"},
        {"x_bronzepoint_token_usage": "1,1", "x_bronzepoint_length_hint": "1e30"},
    )
    def test_unreadable_header_is_a_bad_request(self, headers):
        with self.assertRaises(BadRequest):
            head(**headers)

    @params("kv_from", "x_bronzepoint_kv_hold", "connection", "bronzepoint_forwarded")
    def test_reserved_headers_of_callers_are_dropped(self, name):
        passed = head(**{name: "x"}).headers
        self.assertNotIn(name.replace("_", "-"), passed)

    @params(
        (200, {ID: "1"}, TargetVerdict.ANSWER),
        (500, {ID: "1"}, TargetVerdict.ANSWER),
        (200, {ID: "2"}, TargetVerdict.OTHER_REQUEST),
        (200, {}, TargetVerdict.OTHER_REQUEST),
        (502, {}, TargetVerdict.ANSWER),
        (421, {}, TargetVerdict.REPLACED),
        (503, {ID: "1", "x-bronzepoint-not-executed": "1"}, TargetVerdict.NOT_RUN),
        (400, {"x-bronzepoint-not-executed": "1"}, TargetVerdict.NOT_RUN),
    )
    def test_answer_is_classified_by_status_and_headers(self, status, headers, verdict):
        self.assertEqual(CODEC.classify_answer(head(), status, headers), verdict)

    @params(
        ({}, None),
        ({"server-limit": "1"}, 1.0),
        ({"server-limit": "0.25"}, 0.25),
        ({"server-limit": "0"}, 0.0),
    )
    def test_request_limit(self, headers, expected):
        self.assertEqual(CODEC.request_limit(headers), expected)

    @params("", "x", "-1", "nan", "inf")
    def test_unreadable_request_limit_is_an_error(self, text):
        """Guards against a limit that is taken for none, or for any number."""
        with self.assertRaises(ValueError):
            CODEC.request_limit({"server-limit": text})

    @params(
        # status, Retry-After, seconds
        (503, None, 0.0),
        (503, "3", 3.0),
        (503, "0.4", 0.4),
        (503, "0", 0.0),
        (503, "-5", 0.0),
        (503, "1000", 1000.0),
        (503, "1e300", MAX_REST),
        (503, "Thu, 01 Jan 1970 00:00:00 GMT", 0.0),
        (503, "Fri, 31 Dec 2999 00:00:00 GMT", MAX_REST),
        (429, "3", 0.0),
        (421, "3", 0.0),
        (200, "3", 0.0),
    )
    def test_requested_rest(self, status, text, expected):
        headers = {} if text is None else {"retry-after": text}
        self.assertEqual(CODEC.requested_rest(status, headers), expected)

    @params((None, False), ("1", True), (" 1 ", True), ("0", False), ("", False))
    def test_says_leaving(self, text, expected):
        headers = {} if text is None else {"server-leaving": text}
        self.assertEqual(CODEC.says_leaving(headers), expected)

    @params("", "soon", "nan", "inf")
    def test_unreadable_rest_is_an_error(self, text):
        """Guards against a rest that is taken for none without a trace."""
        with self.assertRaises(ValueError):
            CODEC.requested_rest(503, {"retry-after": text})


class TestManifest(unittest.TestCase):
    def test_kinds_and_bounds(self):
        found = read_manifest(json.dumps(manifest(7)).encode())
        kinds = [route.kind for route in found.routes]
        self.assertEqual(kinds, list(RouteKind))
        repeatable = [route.repeatable for route in found.routes]
        self.assertEqual(repeatable, [True, False, True])
        self.assertEqual((found.version, found.routes[0].timeout), (7, 4.0))

    @params(
        ("/safe/x", "r/safe/"),
        ("/safe/deep/x", "r/safe/deep/"),
        ("/safe", None),
        ("/other/", None),
    )
    def test_longest_prefix_wins(self, path, expected):
        document = manifest(1)
        deep = {**document["routes"][0], "name": "r/safe/deep/"}
        document["routes"].append({**deep, "path_prefix": "/safe/deep/"})
        found = read_manifest(json.dumps(document).encode())
        route = found.find_route("h.example", path)
        self.assertEqual(route and route.name, expected)
        self.assertIsNone(found.find_route("other.example", path))

    @params({"route_type": "what"}, {"timeout_ms": -1}, {"service": ""}, {"name": 3})
    def test_invalid(self, changes):
        with self.assertRaises(ManifestInvalid):
            read_manifest(json.dumps(manifest(1, **changes)).encode())


class TestSettings(unittest.TestCase):
    @params(
        (None, "BRONZEPOINT_CONFIG"),
        ("node_name = ", "not as expected"),
        ('node_name = "a"', "ip"),
    )
    def test_faults_name_the_key_and_the_remedy(self, text, word):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            if text is not None:
                path.write_text(text)
            value = str(path) if text is not None else ""
            with mock.patch.dict(os.environ, {"BRONZEPOINT_CONFIG": value}):
                with self.assertRaises(SettingsUnreadable) as caught:
                    read_settings()
        self.assertIn(word, str(caught.exception))


if __name__ == "__main__":
    unittest.main()


class TestCopies(unittest.TestCase):
    @params(
        (None, {}),
        (CopyInstructions(), {}),
        (CopyInstructions(fetch_from="10.0.0.2:80"), {"kv-fetch": "10.0.0.2:80"}),
    )
    def test_copy_headers_are_set_by_the_system_only(self, copy_instructions, expected):
        caller = head(kv_fetch="10.9.9.9:1", kv_from="10.9.9.9:1/x")
        headers = CODEC.target_headers(caller, 1.0, "i-1", 0, None, copy_instructions)
        found = {k: v for k, v in headers.items() if k.startswith("kv-")}
        self.assertEqual(found, expected)
