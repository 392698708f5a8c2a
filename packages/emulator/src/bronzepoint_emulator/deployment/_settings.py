"""The INI file of one host."""

import configparser
from pathlib import Path

from msgspec import Struct

from bronzepoint_emulator.deployment._layout import HostSpec, Layout
from bronzepoint_schema.ids import HostName


class HostAddresses(Struct, frozen=True):
    """Where one host listens."""

    http: str
    peer: str


class PlatformAddresses(Struct, frozen=True):
    """Where the platform's services listen."""

    host_list: str
    weight_store: str


Sections = dict[str, dict[str, str]]

# All processes of a deployment read one machine's clock. With the default allowance
# for skewed clocks, hosts that have just started would refuse non-idempotent requests
# for that long.
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
    """Write the settings of one host.

    Args:
        path: File to write.
        layout: The deployment.
        host: Whose settings these are.
        own: Where it listens.
        peers: Where it reaches each other host; behind a fault proxy these are the
            addresses of its own links.
        platform: The platform's services.
        cluster_key: 64 hex digits.
        data_folder: Folder for its state, for a host that has a disk.
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
