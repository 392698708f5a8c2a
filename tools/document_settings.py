"""Generates the settings page from the settings schema.

With ``--check`` nothing is written; the exit status is 1 if the page is out of date.
"""

import json
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schemas" / "settings.json"
PAGE = ROOT / "docs" / "CONFIGURATION.md"

INTRODUCTION = """\
# Configuration

Written by `make generate` from `schemas/settings.json`; don't edit it here.

`bronzepointd` reads one INI file: `bronzepointd host.ini`. Check a file before use:
`bronzepoint config check host.ini` names each fault with its section, key and remedy.

- Times are in seconds, sizes in bytes. Booleans are `true` or `false`.
- Addresses are an IP number and a port, such as `10.0.0.1:8080` or `[::1]:8080`.
- Names have 1 to 63 letters, digits, `-` and `_`, a letter or digit first.
- A line that starts with `#` or `;` is a comment.
- An unknown section or key is an error, so that a misspelt one can't go unnoticed.

All hosts of one system share `[cluster]`, and should share `[agreement]`,
`[membership]`, `[run_once]` and the `[caller NAME]` and `[operator NAME]` sections.
Each host lists every other host in a `[peer NAME]` section.
"""

EXAMPLE = """\
## Example

```ini
[host]
name = bkk-1
region = bkk
data_center = bkk-a
data_folder = /var/lib/bronzepoint
voter = true

[listen]
http = 10.1.0.1:8080
peer = 10.1.0.1:9090

[cluster]
# openssl rand -hex 32
key = 0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0

[peer sgp-1]
region = sgp
data_center = sgp-a
http = 10.2.0.1:8080
peer = 10.2.0.1:9090
voter = true

[caller stall-app]
token = a-long-random-token
owner = saphan
home = bkk

[operator ann]
token = another-long-random-token
```
"""

NAMED_SECTIONS = {"peers": "peer NAME", "callers": "caller NAME"}
NAMED_SECTIONS["operators"] = "operator NAME"

Schema = dict[str, Any]


def write_page(schema: Schema) -> str:
    """Return the complete page."""
    definitions = schema["$defs"]
    parts = [INTRODUCTION]
    for name, field in definitions["Settings"]["properties"].items():
        if name in NAMED_SECTIONS:
            section, reference = NAMED_SECTIONS[name], field["additionalProperties"]
        else:
            section, reference = name, field
        definition = definitions[reference["$ref"].rsplit("/", 1)[-1]]
        parts.append(write_section(section, definition, definitions))
    parts.append(EXAMPLE)
    return "\n".join(parts)


def write_section(section: str, definition: Schema, definitions: Schema) -> str:
    """Return the text about one section: its purpose and a table of its keys."""
    _, _, purpose = definition["description"].partition(": ")
    lines = [
        f"## `[{section}]`",
        "",
        purpose[:1].upper() + purpose[1:],
        "",
        "| Key | Value | Default | Meaning |",
        "| --- | --- | --- | --- |",
    ]
    for name, field in definition["properties"].items():
        if "$ref" in field:
            field = definitions[field["$ref"].rsplit("/", 1)[-1]] | field
        default = write_default(field, name in definition["required"])
        meaning = field.get("description", MEANINGS.get(name, "")).replace("|", "\\|")
        lines.append(f"| `{name}` | {write_type(field)} | {default} | {meaning} |")
    return "\n".join(lines) + "\n"


MEANINGS = {
    "name": "Name of this host; no other may have it.",
    "region": "Region that the host is in.",
    "data_center": "Data center that the host is in.",
    "owner": "Organisation that the caller belongs to.",
}
"""Descriptions of keys that have none in the schema."""


def write_default(field: Schema, required: bool) -> str:
    """Return the default of a key as it is written in a settings file."""
    if required:
        return "required"
    match field["default"]:
        case bool(value):
            return f"`{str(value).lower()}`"
        case "":
            return "empty"
        case value:
            return f"`{value}`"


def write_type(field: Schema) -> str:
    """Return the type of a key's value, with its bounds."""
    match field:
        case {"enum": values}:
            return ", ".join(f"`{value}`" for value in values)
        case {"pattern": _}:
            return "64 hex digits"
        case {"minLength": min_length}:
            return f"text of {min_length} characters or more"
        case {"type": "integer"}:
            return f"whole number{write_bounds(field)}"
        case {"type": "number"}:
            return f"number{write_bounds(field)}"
        case {"type": "boolean"}:
            return "boolean"
        case {"type": "string"}:
            return "text"
        case {"type": kind}:
            return kind
    return "text"


def write_bounds(field: Schema) -> str:
    """Return the bounds of a number, in words."""
    words = {"minimum": "from", "exclusiveMinimum": "above", "maximum": "to"}
    return "".join(
        f" {word} {field[key]}" for key, word in words.items() if key in field
    )


def main() -> int:
    """Write the page, or check it with ``--check``."""
    page = write_page(json.loads(SCHEMA.read_text()))
    if "--check" not in sys.argv:
        PAGE.write_text(page)
        return 0
    if PAGE.exists() and PAGE.read_text() == page:
        return 0
    print(
        f"docs/{PAGE.name} is out of date: run 'make generate' and commit the result."
    )
    return 1


if __name__ == "__main__":
    sys.exit(main())
