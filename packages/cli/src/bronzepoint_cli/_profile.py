"""Connection settings from options, the environment or a client file."""

import configparser
from pathlib import Path

import msgspec

from bronzepoint_cli._errors import UsageFault
from bronzepoint_common.settings import AddressError, split_address

SECTION = "client"
DEFAULT_TIMEOUT = 30.0
"""Seconds for a whole command, including tries at other hosts."""


class Profile(msgspec.Struct):
    """Connection settings of one command; `timeout` is in seconds."""

    hosts: list[str] = msgspec.field(default_factory=list)
    token: str = ""
    timeout: float = DEFAULT_TIMEOUT

    def require(self) -> "Profile":
        """Check that hosts and token are given, and return self.

        Raises:
            UsageFault: One of them is missing or malformed.
        """
        if not self.hosts:
            raise UsageFault(
                "no host is given; use --hosts 10.0.0.1:8080,10.0.0.2:8080, "
                f"BRONZEPOINT_HOSTS or 'hosts = …' under [{SECTION}] of --client FILE"
            )
        if not self.token:
            raise UsageFault(
                "no token is given; use BRONZEPOINT_TOKEN, --token or 'token = …' "
                f"under [{SECTION}] of --client FILE"
            )
        for address in self.hosts:
            try:
                split_address(address)
            except AddressError as exc:
                raise UsageFault(f"bad host: {exc}") from None
        return self


def load_profile(
    hosts: str, token: str, timeout: float | None, client_file: Path | None
) -> Profile:
    """Combine options and client file; options take precedence.

    Raises:
        UsageFault: The client file is missing or invalid.
    """
    values = _read_client_file(client_file) if client_file else {}
    hosts = hosts or values.get("hosts", "")
    if timeout is None:
        timeout = _parse_timeout(values.get("timeout", ""), client_file)
    return Profile(
        hosts=[part.strip() for part in hosts.split(",") if part.strip()],
        token=token or values.get("token", ""),
        timeout=timeout,
    )


def _read_client_file(path: Path) -> dict[str, str]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
        values = dict(parser[SECTION])
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise UsageFault(f"{path} can't be read: {exc}") from None
    except KeyError:
        raise UsageFault(f"{path} has no section; add [{SECTION}]") from None
    unknown = sorted(set(values) - {"hosts", "token", "timeout"})
    if unknown:
        raise UsageFault(
            f"{path} [{SECTION}] {unknown[0]}: is no key; "
            "the keys are hosts, token, timeout"
        )
    return values


def _parse_timeout(text: str, path: Path | None) -> float:
    if not text:
        return DEFAULT_TIMEOUT
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise UsageFault(
            f"{path} [{SECTION}] timeout: {text!r} is no number of seconds above 0"
        )
    return seconds


__all__ = ["Profile", "load_profile"]
