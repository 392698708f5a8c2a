"""The ``bronzepoint`` program."""

from bronzepoint_cli._app import app

__all__ = ["app"]
