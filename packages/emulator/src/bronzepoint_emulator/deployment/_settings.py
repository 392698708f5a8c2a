"""Writes the INI settings file of a host."""

import configparser
from pathlib import Path

from msgspec import Struct

from bronzepoint_emulator.deployment._layout import HostSpec, Layout
from bronzepoint_schema.ids import HostName


class HostAddresses(Struct, frozen=True):
    """Addresses that a host listens on."""

    http: str
    peer: str


class PlatformAddresses(Struct, frozen=True):
    """Addresses of the platform's services."""

    host_list: str
    weight_store: str


Sections = dict[str, dict[str, str]]

# All processes of a deployment share one clock. After a start, hosts refuse
# non-idempotent requests for the allowed clock skew (s); its default would delay tests.
HARNESS_SETTINGS: Sections = {"run_once": {"clock_skew": "0.2"}}


def write_settings(
    path: Path,
    layout: Layout,
    host: HostSpec,
    own: HostAddresses,
    peers: dict[HostName, HostAddresses],
    platform: PlatformAddresses,
    cluster_key: str,
    data_folder: Path | None,
) -> None:
    """Write the settings file of one host.

    Args:
        path: File to write.
        layout: The deployment.
        host: The host.
        own: Addresses that it listens on.
        peers: Addresses of the other hosts; with a fault proxy, those of its links to
            them.
        platform: Addresses of the platform's services.
        cluster_key: 64 hex digits.
        data_folder: Folder for its state; None if it has no disk.
    """
    sections: Sections = {
        "host": {
            "name": host.name,
            "region": host.region,
            "data_center": host.data_center,
            "data_folder": str(data_folder or ""),
            "voter": _flag(host.voter),
        },
        "listen": {"http": own.http, "peer": own.peer},
        "cluster": {"key": cluster_key},
        "platform": {
            "host_list": platform.host_list,
            "weight_store": platform.weight_store,
        },
    }
    sections |= _peer_sections(layout, host, peers)
    sections |= _credentials(layout)
    for extra in (HARNESS_SETTINGS, layout.settings):
        for name, keys in extra.items():
            sections[name] = sections.get(name, {}) | keys
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w") as file:
        parser.write(file)


def _flag(value: bool) -> str:
    return "true" if value else "false"


def _peer_sections(
    layout: Layout, host: HostSpec, peers: dict[HostName, HostAddresses]
) -> Sections:
    return {
        f"peer {other.name}": {
            "region": other.region,
            "data_center": other.data_center,
            "http": peers[other.name].http,
            "peer": peers[other.name].peer,
            "voter": _flag(other.voter),
        }
        for other in layout.hosts
        if other.name != host.name
    }


def _credentials(layout: Layout) -> Sections:
    sections: Sections = {
        f"caller {caller.name}": {
            "token": caller.token,
            "owner": caller.owner,
            "home": caller.home,
        }
        for caller in layout.callers
    }
    for operator in layout.operators:
        sections[f"operator {operator.name}"] = {"token": operator.token}
    return sections
