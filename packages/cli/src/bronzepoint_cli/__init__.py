"""The ``bronzepoint`` command line, for operators and callers."""

from bronzepoint_cli._app import app

__all__ = ["app"]
