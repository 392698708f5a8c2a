"""Generated code and pages are up to date with the schemas."""

import importlib
import subprocess
import sys
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from bronzepoint_common.settings import parse_settings

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = sorted(path.stem for path in (ROOT / "schemas").glob("*.json"))


def run_tool(*command: str) -> subprocess.CompletedProcess:
    """Run a tool and return its status and output."""
    return subprocess.run(
        [sys.executable, *command], cwd=ROOT, capture_output=True, text=True
    )


class Generated(unittest.TestCase):
    def test_code_is_current(self):
        done = run_tool("tools/generate.py", "--check")
        self.assertEqual(done.returncode, 0, done.stdout)

    def test_configuration_page_is_current(self):
        done = run_tool("tools/document_settings.py", "--check")
        self.assertEqual(done.returncode, 0, done.stdout)

    @params(*SCHEMAS)
    def test_module_defines_what_the_schema_does(self, name):
        module = importlib.import_module(f"bronzepoint_schema.generated.{name}")
        schema = msgspec.json.decode((ROOT / "schemas" / f"{name}.json").read_bytes())
        for definition in schema["$defs"]:
            self.assertTrue(hasattr(module, definition), definition)

    def test_example_of_the_configuration_page_is_valid(self):
        page = (ROOT / "docs" / "CONFIGURATION.md").read_text()
        _, _, rest = page.partition("```ini\n")
        example, _, _ = rest.partition("```")
        self.assertEqual(parse_settings(example).host.name, "bkk-1")
