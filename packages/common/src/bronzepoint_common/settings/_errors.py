"""Errors in settings files; each names the location and the remedy."""

from collections.abc import Sequence
from pathlib import Path
from typing import Self


class SettingsError(Exception):
    """One fault in a settings file.

    Args:
        file: Path of the file.
        section: Section; empty if the fault concerns the whole file.
        key: Key; empty if the fault concerns the whole section.
        problem: What is wrong.
        remedy: How to correct it.
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
        """File, section and key as one text."""
        parts = [self.file]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(self.key)
        return " ".join(parts)

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All faults in a settings file, so that they can be corrected together."""

    def derive(self, excs: Sequence[SettingsError]) -> Self:  # type: ignore[override]
        """Return a group of the same type with some of the errors."""
        return type(self)(self.message, excs)


__all__ = ["SettingsError", "SettingsErrorGroup"]
