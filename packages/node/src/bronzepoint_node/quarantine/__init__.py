"""Requests that crash the targets that run them: who ran where when a target ended."""

from ._crash_watch import Crash, CrashWatch, WatchedRun
from ._fingerprint import fingerprint

__all__ = ["Crash", "CrashWatch", "WatchedRun", "fingerprint"]
