"""Errors of the demo."""


class StepFailed(Exception):
    """The check of a demo step failed."""
