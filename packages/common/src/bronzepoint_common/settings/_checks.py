"""Semantic checks of settings: single values, and values that depend on others."""

import ipaddress
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

from bronzepoint_common.settings._address import AddressError, split_address
from bronzepoint_common.settings._convert import NAME_PATTERN, NAME_REMEDY
from bronzepoint_common.settings._errors import SettingsError
from bronzepoint_schema.generated.settings import Settings

Fault = tuple[str, str, str, str]
"""Section, key, problem and remedy of one fault."""


def check_settings(settings: Settings, file: str | Path) -> list[SettingsError]:
    """Return all semantic faults of settings whose values have the right types."""
    checks = (
        _check_host,
        _check_addresses,
        _check_shared_addresses,
        _check_peers,
        _check_callers,
        _check_tokens,
        _check_times,
    )
    faults = [fault for check in checks for fault in check(settings)]
    return [SettingsError(file, *fault) for fault in faults]


def _check_host(settings: Settings) -> Iterator[Fault]:
    host = settings.host
    for key in ("name", "region", "data_center"):
        value = getattr(host, key)
        if not NAME_PATTERN.fullmatch(value):
            yield "host", key, f"{value!r} can't be a name", NAME_REMEDY
    if host.voter and not host.data_folder:
        remedy = "set data_folder to a folder on a disk, or voter to false"
        yield "host", "data_folder", "a voter needs a data folder", remedy
    if host.data_folder and Path(host.data_folder).is_file():
        problem = f"{host.data_folder!r} is a file"
        yield "host", "data_folder", problem, "give the path of a folder"


def _addresses(settings: Settings) -> Iterator[tuple[str, str, str]]:
    """Yield section, key and address of each endpoint of this host and its peers."""
    yield "listen", "http", settings.listen.http
    yield "listen", "peer", settings.listen.peer
    for name, peer in settings.peers.items():
        yield f"peer {name}", "http", peer.http
        yield f"peer {name}", "peer", peer.peer


def _optional_addresses(settings: Settings) -> Iterator[tuple[str, str, str]]:
    """Yield section, key and address of each optional address that is set."""
    platform = settings.platform
    optional = (
        ("platform", "host_list", platform.host_list),
        ("platform", "weight_store", platform.weight_store),
        ("metrics", "statsd", settings.metrics.statsd),
    )
    yield from (item for item in optional if item[2])


def _check_addresses(settings: Settings) -> Iterator[Fault]:
    listed = [*_addresses(settings), *_optional_addresses(settings)]
    for section, key, address in listed:
        try:
            host, port = split_address(address)
        except AddressError as exc:
            yield section, key, str(exc), "give an IP address and a port"
            continue
        if ipaddress.ip_address(host).is_unspecified:
            # The host announces this address to callers and peers; they would connect
            # to themselves.
            problem = f"{address!r} names no host"
            yield section, key, problem, "give the IP address to reach it at"
        if port == 0 and section != "listen":
            problem = f"{address!r} has port 0"
            yield section, key, problem, "give the port that it listens on"


def _check_shared_addresses(settings: Settings) -> Iterator[Fault]:
    users = defaultdict(list)
    for section, key, address in _addresses(settings):
        if not address.endswith(":0"):
            users[address].append((section, key))
    for address, places in users.items():
        first_section, first_key = places[0]
        for section, key in places[1:]:
            problem = f"{address} is already used by [{first_section}] {first_key}"
            yield section, key, problem, "give each its own address"


def _check_peers(settings: Settings) -> Iterator[Fault]:
    homes = {settings.host.data_center: settings.host.region}
    for name, peer in settings.peers.items():
        section = f"peer {name}"
        if name == settings.host.name:
            yield section, "", "is this host itself", "remove the section"
        for key in ("region", "data_center"):
            value = getattr(peer, key)
            if not NAME_PATTERN.fullmatch(value):
                yield section, key, f"{value!r} can't be a name", NAME_REMEDY
        region = homes.setdefault(peer.data_center, peer.region)
        if region != peer.region:
            problem = f"{peer.data_center!r} is in region {region!r} elsewhere"
            yield section, "data_center", problem, "use one region per data center"


def _check_callers(settings: Settings) -> Iterator[Fault]:
    regions = {settings.host.region, *(p.region for p in settings.peers.values())}
    for name, caller in settings.callers.items():
        section = f"caller {name}"
        if not NAME_PATTERN.fullmatch(caller.owner):
            yield section, "owner", f"{caller.owner!r} can't be a name", NAME_REMEDY
        if caller.home not in regions:
            problem = f"no host is in region {caller.home!r}"
            yield section, "home", problem, f"use one of {', '.join(sorted(regions))}"


def _check_tokens(settings: Settings) -> Iterator[Fault]:
    holders: dict[str, str] = {}
    sections = [
        *((f"caller {name}", s.token) for name, s in settings.callers.items()),
        *((f"operator {name}", s.token) for name, s in settings.operators.items()),
    ]
    for section, token in sections:
        if not (token.isascii() and token.isprintable() and " " not in token):
            problem = "the token has characters that aren't allowed in a header"
            yield section, "token", problem, "use ASCII letters, digits and punctuation"
        holder = holders.setdefault(token, section)
        if holder != section:
            problem = f"the token is also used by [{holder}]"
            yield section, "token", problem, "give each its own token"


def _check_times(settings: Settings) -> Iterator[Fault]:
    agreement, membership = settings.agreement, settings.membership
    ascending = (
        # Heartbeats renew the lease: a shorter one would expire before each renewal.
        ("agreement", "heartbeat", agreement.heartbeat, "lease", agreement.lease),
        # An election before the old lease has expired could lead to two leaders.
        (
            "agreement",
            "lease",
            agreement.lease,
            "election_timeout",
            agreement.election_timeout,
        ),
        (
            "agreement",
            "election_timeout",
            agreement.election_timeout,
            "in_force_bound",
            agreement.in_force_bound,
        ),
        (
            "membership",
            "interval",
            membership.interval,
            "suspect_after",
            membership.suspect_after,
        ),
        (
            "membership",
            "suspect_after",
            membership.suspect_after,
            "dead_after",
            membership.dead_after,
        ),
    )
    for section, low, low_value, high, high_value in ascending:
        if low_value >= high_value:
            problem = f"{low_value:g} is not below {high} = {high_value:g}"
            yield section, low, problem, f"lower {low} or raise {high}"


__all__ = ["check_settings"]
