"""Errors of the demo."""


class StepFailed(Exception):
    """A step of the demo did not show what it should."""
