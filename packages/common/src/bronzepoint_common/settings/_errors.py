"""Errors of the settings file; each names the place and the remedy."""

from collections.abc import Sequence
from pathlib import Path
from typing import Self


class SettingsError(Exception):
    """One fault of a settings file.

    Args:
        file: The file.
        section: The section, empty where the fault concerns the file as a whole.
        key: The key, empty where the fault concerns a whole section.
        problem: What is wrong.
        remedy: What to do about it.
    """

    def __init__(
        self, file: str | Path, section: str, key: str, problem: str, remedy: str
    ) -> None:
        self.file = str(file)
        self.section = section
        self.key = key
        self.problem = problem
        self.remedy = remedy
        super().__init__(str(self))

    @property
    def place(self) -> str:
        """File, section and key in one phrase."""
        parts = [self.file]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(self.key)
        return " ".join(parts)

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All faults that one reading of a file found, so that they are mended at once."""

    def derive(self, excs: Sequence[SettingsError]) -> Self:  # type: ignore[override]
        """Return a group of the same type for part of the errors."""
        return type(self)(self.message, excs)


__all__ = ["SettingsError", "SettingsErrorGroup"]
