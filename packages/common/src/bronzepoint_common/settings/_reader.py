"""Reads an INI file into sections of texts, before conversion."""

import configparser
from pathlib import Path

from bronzepoint_common.settings._errors import SettingsError

Sections = dict[str, dict[str, str]]

NO_DEFAULT_SECTION = "\0"
"""Section name that no file can contain, set as the default section of configparser.

configparser copies the default section into all others, where its keys would be
unknown. With this name, [DEFAULT] itself is reported as an unknown section.
"""


def read_text(path: Path) -> str:
    """Return the text of the file.

    Raises:
        SettingsError: The file is missing, unreadable or not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8-sig")
    except UnicodeDecodeError as exc:
        raise SettingsError(
            path, "", "", f"byte {exc.start} is not UTF-8", "save the file as UTF-8"
        ) from exc
    except OSError as exc:
        raise SettingsError(
            path,
            "",
            "",
            f"can't be read ({exc.strerror or exc})",
            "give the path of an INI file that this user can read",
        ) from exc


def read_sections(text: str, file: str | Path) -> Sections:
    """Split the text into sections of keys and values.

    Raises:
        SettingsError: The text is not valid INI, or a section or key is duplicated.
    """
    parser = configparser.ConfigParser(
        interpolation=None,  # tokens may hold a percent sign
        default_section=NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=str(file))
    except configparser.DuplicateSectionError as exc:
        raise SettingsError(
            file,
            exc.section,
            "",
            f"the section appears twice (line {exc.lineno})",
            "merge the two sections",
        ) from exc
    except configparser.DuplicateOptionError as exc:
        raise SettingsError(
            file,
            exc.section,
            exc.option,
            f"the key appears twice (line {exc.lineno})",
            "keep one of the two",
        ) from exc
    except configparser.MissingSectionHeaderError as exc:
        raise SettingsError(
            file,
            "",
            "",
            f"line {exc.lineno} comes before any section",
            "start with a section such as [host]",
        ) from exc
    except configparser.ParsingError as exc:
        lines = ", ".join(str(number) for number, _ in exc.errors)
        raise SettingsError(
            file,
            "",
            "",
            f"invalid syntax at line {lines}",
            "write 'key = value' under a section",
        ) from exc
    return {name: dict(parser[name]) for name in parser.sections()}


__all__ = ["Sections", "read_sections", "read_text"]
