"""Loading any settings file gives settings, or faults with problem and remedy."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bronzepoint_common.settings import (
    AddressError,
    SettingsErrorGroup,
    parse_settings,
    split_address,
)
from bronzepoint_schema.generated.settings import Settings
from tests._fuzzing import fuzz
from tests.test_settings_faults import GOOD

LINES = GOOD.splitlines()
KEYS = [
    (section.name, key.name)
    for section in msgspec.structs.fields(Settings)
    if isinstance(section.type, type) and issubclass(section.type, msgspec.Struct)
    for key in msgspec.structs.fields(section.type)
]
ONE_LINE = st.text(
    st.characters(
        codec="utf-8", exclude_characters="\r\n\v\f\x1c\x1d\x1e\x85\u2028\u2029"
    )
)


def faults_of(text: str) -> list:
    """Return the faults of a text; other errors propagate."""
    try:
        parse_settings(text, "host.ini")
    except SettingsErrorGroup as group:
        return list(group.exceptions)
    return []


class SettingsFuzz(unittest.TestCase):
    def check(self, text: str) -> list:
        faults = faults_of(text)
        for fault in faults:
            self.assertEqual(fault.file, "host.ini")
            self.assertTrue(fault.problem and fault.remedy, str(fault))
        return faults

    @fuzz
    @given(st.text())
    def test_any_text(self, text):
        self.assertTrue(self.check(text))

    @fuzz
    @given(st.integers(0, len(LINES) - 1), ONE_LINE)
    def test_any_line_replaced(self, index, line):
        self.check("\n".join([*LINES[:index], line, *LINES[index + 1 :]]))

    @fuzz
    @given(st.integers(0, len(LINES)), st.integers(0, len(LINES)))
    def test_lines_lost(self, start, end):
        self.check("\n".join([*LINES[:start], *LINES[end:]]))

    @fuzz
    @given(st.sampled_from(KEYS), ONE_LINE)
    def test_any_value_of_any_key(self, place, value):
        section, key = place
        lines = [line for line in LINES if line != f"[{section}]"]
        at = LINES.index(f"[{section}]") if f"[{section}]" in LINES else len(lines)
        kept = [line for line in lines[at:] if not line.startswith(f"{key} =")]
        given_lines = [f"[{section}]", f"{key} = {value}"]
        self.check("\n".join([*lines[:at], *given_lines, *kept]))

    @fuzz
    @given(st.text())
    def test_any_address(self, text):
        try:
            host, port = split_address(text)
        except AddressError:
            return
        self.assertTrue(host)
        self.assertIn(port, range(65536))
