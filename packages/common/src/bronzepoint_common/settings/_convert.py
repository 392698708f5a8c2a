"""Converts INI sections to typed Settings and collects all faults."""

import difflib
import math
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from bronzepoint_common.settings._errors import SettingsError
from bronzepoint_common.settings._reader import Sections
from bronzepoint_schema.generated.settings import (
    CallerSection,
    OperatorSection,
    PeerSection,
    Settings,
)

SectionType = TypeVar("SectionType", bound=msgspec.Struct)

NAMED: dict[str, tuple[str, type[msgspec.Struct]]] = {
    "peer": ("peers", PeerSection),
    "caller": ("callers", CallerSection),
    "operator": ("operators", OperatorSection),
}
"""Named sections: first word of the header -> field of Settings and section type."""

SECRETS = frozenset({"key", "token"})
"""Keys whose values are omitted from errors, since errors end up in logs."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
NAME_REMEDY = "use 1 to 63 letters, digits, '-' and '_', a letter or digit first"


class SectionConverter:
    """Converts the sections of one file and collects their faults in `errors`.

    Args:
        file: Path of the file, for the errors.
        sections: Sections of the file, as texts.
    """

    def __init__(self, file: str | Path, sections: Sections) -> None:
        self.errors: list[SettingsError] = []
        self._file = file
        self._sections = sections

    def convert(self) -> Settings | None:
        """Return the settings, or None if there are `errors`."""
        plain = {
            field.name: field
            for field in msgspec.structs.fields(Settings)
            if field.name not in {name for name, _ in NAMED.values()}
        }
        values: dict[str, Any] = {name: {} for name, _ in NAMED.values()}
        for section, keys in self._sections.items():
            kind, _, name = section.partition(" ")
            if section in plain:
                values[section] = self._convert_section(
                    section, keys, plain[section].type
                )
            elif kind in NAMED:
                field, section_type = NAMED[kind]
                self._check_name(section, kind, name.strip())
                values[field][name.strip()] = self._convert_section(
                    section, keys, section_type
                )
            else:
                self._report_unknown_section(section, list(plain))
        for field in plain.values():
            if field.required and field.name not in self._sections:
                self._report_missing_section(field.name, field.type)
        return None if self.errors else Settings(**values)

    def _convert_section(
        self, section: str, keys: dict[str, str], section_type: type[SectionType]
    ) -> SectionType | None:
        fields = {field.name: field for field in msgspec.structs.fields(section_type)}
        values = {}
        for key, text in keys.items():
            if key not in fields:
                self._report_unknown_key(section, key, list(fields))
                continue
            try:
                values[key] = _convert_value(text, fields[key].type)
            except msgspec.ValidationError as exc:
                shown = "" if key in SECRETS else f"{text!r}: "
                self._add(section, key, f"{shown}{exc}", _value_remedy(fields[key]))
        for field in fields.values():
            if field.required and field.name not in keys:
                self._add(section, field.name, "is missing", _add_remedy(field))
        missing = [f for f in fields.values() if f.required and f.name not in values]
        return None if missing else section_type(**values)

    def _check_name(self, section: str, kind: str, name: str) -> None:
        if not name:
            remedy = f"write [{kind} NAME]"
            self._add(section, "", f"has no name for the {kind}", remedy)
        elif not NAME_PATTERN.fullmatch(name):
            self._add(section, "", f"{name!r} can't be a name", NAME_REMEDY)

    def _report_unknown_section(self, section: str, known: list[str]) -> None:
        named = [f"{kind} NAME" for kind in NAMED]
        remedy = _suggest(section, [*known, *named], "the sections are")
        self._add(section, "", "is not a known section", remedy)

    def _report_unknown_key(self, section: str, key: str, known: list[str]) -> None:
        self._add(
            section, key, "is not a known key", _suggest(key, known, "the keys are")
        )

    def _report_missing_section(self, name: str, section_type: type) -> None:
        required = [
            field.name
            for field in msgspec.structs.fields(section_type)
            if field.required
        ]
        remedy = f"add [{name}] with {', '.join(required)}"
        self._add(name, "", "the section is missing", remedy)

    def _add(self, section: str, key: str, problem: str, remedy: str) -> None:
        error = SettingsError(self._file, section, key, problem, remedy)
        self.errors.append(error)


def _convert_value(text: str, value_type: Any) -> Any:
    value = msgspec.convert(text, value_type, strict=False)
    # "inf" passes every lower bound, but as a timeout it would never expire and the
    # task that waits for it would hang.
    if isinstance(value, float) and not math.isfinite(value):
        raise msgspec.ValidationError("Expected a finite number")
    return value


def _value_remedy(field: msgspec.structs.FieldInfo) -> str:
    info = msgspec.inspect.type_info(field.type)
    if isinstance(info, msgspec.inspect.Metadata):
        info = info.type
    match info:
        case msgspec.inspect.BoolType():
            return "write true or false"
        case msgspec.inspect.IntType(ge=least):
            return f"write a whole number{_at_least(least)}"
        case msgspec.inspect.FloatType(gt=bound):
            return f"write a number{_above(bound)}"
        case msgspec.inspect.EnumType(cls=enum):
            return f"write one of {', '.join(enum)}"
        case msgspec.inspect.StrType(pattern=str()):
            return "write 64 hex digits, for instance from 'openssl rand -hex 32'"
        case msgspec.inspect.StrType(min_length=int(least)):
            return f"write at least {least} characters"
        case _:
            return "write a text"


def _at_least(least: int | None) -> str:
    return "" if least is None else f" of at least {least}"


def _above(bound: float | None) -> str:
    return "" if bound is None else f" above {bound:g}"


def _add_remedy(field: msgspec.structs.FieldInfo) -> str:
    info = msgspec.inspect.type_info(field.type)
    schema = getattr(info, "extra_json_schema", None) or {}
    description = schema.get("description", "")
    hint = f" ({description.rstrip('.')})" if description else ""
    return f"add '{field.name} = …'{hint}"


def _suggest(word: str, known: list[str], lead: str) -> str:
    near = difflib.get_close_matches(word, known, n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    return f"{lead} {', '.join(known)}"


__all__ = ["SectionConverter"]
