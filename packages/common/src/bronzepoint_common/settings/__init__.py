"""Settings of a host: read from an INI file, converted and validated at startup."""

from bronzepoint_common.settings._address import AddressError, split_address
from bronzepoint_common.settings._errors import SettingsError, SettingsErrorGroup
from bronzepoint_common.settings._loader import load_settings, parse_settings
from bronzepoint_common.settings._views import (
    all_hosts,
    cluster_key,
    hosts_in_region,
    regions,
    voters,
)

__all__ = [
    "AddressError",
    "SettingsError",
    "SettingsErrorGroup",
    "all_hosts",
    "cluster_key",
    "hosts_in_region",
    "load_settings",
    "parse_settings",
    "regions",
    "split_address",
    "voters",
]
