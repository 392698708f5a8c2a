"""Loads the settings of a host."""

from pathlib import Path

from bronzepoint_common.settings._checks import check_settings
from bronzepoint_common.settings._convert import SectionConverter
from bronzepoint_common.settings._errors import SettingsError, SettingsErrorGroup
from bronzepoint_common.settings._reader import read_sections, read_text
from bronzepoint_schema.generated.settings import Settings


def load_settings(path: str | Path) -> Settings:
    """Read, convert and validate an INI file.

    Raises:
        SettingsErrorGroup: Contains a SettingsError for each fault in the file.
    """
    path = Path(path)
    try:
        text = read_text(path)
    except SettingsError as exc:
        raise _group(path, [exc]) from None
    return parse_settings(text, path)


def parse_settings(text: str, file: str | Path = "<text>") -> Settings:
    """Convert and validate the text of an INI file; `file` is named in the errors.

    Raises:
        SettingsErrorGroup: Contains a SettingsError for each fault in the text.
    """
    try:
        sections = read_sections(text, file)
    except SettingsError as exc:
        raise _group(file, [exc]) from None
    converter = SectionConverter(file, sections)
    settings = converter.convert()
    if settings is None:
        raise _group(file, converter.errors)
    errors = check_settings(settings, file)
    if errors:
        raise _group(file, errors)
    return settings


def _group(file: str | Path, errors: list[SettingsError]) -> SettingsErrorGroup:
    return SettingsErrorGroup(f"{file} can't be used", errors)


__all__ = ["load_settings", "parse_settings"]
