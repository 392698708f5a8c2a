"""Links, test names and examples in the documentation are valid."""

import importlib
import re
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from bronzepoint_cli import app
from bronzepoint_schema.generated.catalogue import CatalogueItem

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
)
LINK = re.compile(r"\]\(([^)#]+?)(?:#[^)]*)?\)")
JSON_BLOCK = re.compile(r"```json\n(.*?)```", re.DOTALL)
TEST_NAME = re.compile(r"`(tests\.test_[\w.]+)`")


def names_a_test(name: str) -> bool:
    """Return whether a dotted name is that of a test module, test case or test."""
    _, module_name, *parts = name.split(".")
    try:
        found = importlib.import_module(f"tests.{module_name}")
    except ImportError:
        return False
    for part in parts:
        found = getattr(found, part, None)
    return found is not None


class Pages(unittest.TestCase):
    @params(*PAGES)
    def test_links_lead_somewhere(self, page):
        path = ROOT / page
        for link in LINK.findall(path.read_text()):
            if "://" not in link:
                self.assertTrue((path.parent / link).exists(), f"{page}: {link}")

    def test_catalogue_examples_are_valid(self):
        page = (ROOT / "docs" / "operating" / "catalogue.md").read_text()
        blocks = JSON_BLOCK.findall(page)
        self.assertEqual(len(blocks), 3)
        for block in blocks:
            text = block if block.lstrip().startswith("[") else f"[{block}]"
            msgspec.json.decode(text, type=list[CatalogueItem])

    def test_tests_that_the_proofs_name_exist(self):
        page = (ROOT / "docs" / "PROOFS.md").read_text()
        names = set(TEST_NAME.findall(page))
        self.assertGreater(len(names), 30)
        missing = sorted(name for name in names if not names_a_test(name))
        self.assertEqual(missing, [])

    def test_every_command_shows_an_example(self):
        commands = list(app.registered_commands)
        for group in app.registered_groups:
            commands += group.typer_instance.registered_commands
        self.assertGreater(len(commands), 12)
        for command in commands:
            self.assertIn("Example: bronzepoint", command.callback.__doc__)
