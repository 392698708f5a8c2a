"""Validation of catalogue items, with a remedy for each problem."""

from collections import Counter
from collections.abc import Iterator

from bronzepoint_common.settings import AddressError, split_address
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    ModelEntry,
    OwnerItem,
    Residency,
    ResidencyRule,
    Route,
    ServiceEntry,
    Target,
)

_METHODS = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
_SAFE_METHODS = {"GET", "HEAD", "OPTIONS"}
_MAX_NAME_LENGTH = 128
"""Maximum number of characters of a name."""


def find_contradictions(item: CatalogueItem) -> list[str]:
    """Return one sentence per problem; an empty list means the item is valid."""
    match item:
        case ModelEntry():
            found = [*_entry_problems(item)]
        case ServiceEntry():
            found = [*_entry_problems(item), *_route_problems(item.routes)]
        case OwnerItem() | ClassItem():
            found = []
    return [*_name_problems("name", item.name), *found]


def _entry_problems(entry: ModelEntry | ServiceEntry) -> Iterator[str]:
    yield from _name_problems("owner", entry.owner)
    yield from _residency_problems(entry.residency)
    yield from _owner_problems(entry)
    yield from _target_problems(entry)


def _name_problems(field: str, name: str) -> Iterator[str]:
    if not name:
        yield f"Its {field} is empty: give one."
    elif (
        len(name) > _MAX_NAME_LENGTH
        or not name.isprintable()
        or set(name) & set(" /?#")
    ):
        yield (
            f"Its {field} {name[:_MAX_NAME_LENGTH]!r} can't be part of a path: use at"
            f" most {_MAX_NAME_LENGTH} characters without blanks, '/', '?' and '#'."
        )


def _residency_problems(residency: Residency) -> Iterator[str]:
    listed = residency.rule is ResidencyRule.regions
    if listed and not residency.regions:
        yield "Residency rule 'regions' names no region: list at least one."
    if not listed and residency.regions:
        yield (
            f"Residency rule '{residency.rule.value}' doesn't use the listed regions:"
            " remove them or set rule 'regions'."
        )


def _owner_problems(entry: ModelEntry | ServiceEntry) -> Iterator[str]:
    if entry.owners_allowed and entry.owner not in entry.owners_allowed:
        yield (
            f"Its owner {entry.owner} is not in owners_allowed: add it or empty the"
            " list."
        )


def _target_problems(entry: ModelEntry | ServiceEntry) -> Iterator[str]:
    names = Counter(target.name for target in entry.targets)
    for name, count in names.items():
        if count > 1:
            yield f"Target name {name} appears {count} times: rename all but one."
    addresses: Counter[str] = Counter(target.address for target in entry.targets)
    for address, count in addresses.items():
        if count > 1:
            yield f"Address {address} appears {count} times: keep one target for it."
    for target in entry.targets:
        yield from _name_problems("target name", target.name)
        yield from _region_problems(target, entry.residency)
        if not is_ip_address_and_port(target.address):
            yield (
                f"Address {target.address!r} of target {target.name} is not host:port"
                " by IP number: write it like 192.0.2.7:8000."
            )


def _region_problems(target: Target, residency: Residency) -> Iterator[str]:
    if residency.rule is not ResidencyRule.regions or not residency.regions:
        return
    if target.region not in residency.regions:
        yield (
            f"Target {target.name} is in region {target.region}, which the residency"
            " doesn't allow: remove the target or add the region."
        )


def _route_problems(routes: list[Route]) -> Iterator[str]:
    if not routes:
        yield "The service has no routes, so it can't be called: add one."
    seen: Counter[tuple[str, str]] = Counter((r.method, r.path) for r in routes)
    for (method, path), count in seen.items():
        if count > 1:
            yield f"Route {method} {path} appears {count} times: keep one."
    for route in routes:
        if route.method not in _METHODS:
            yield (
                f"Route method {route.method!r} is unknown: use one of "
                f"{', '.join(sorted(_METHODS))}."
            )
        if not route.path.startswith("/"):
            yield f"Route path {route.path!r} doesn't begin with '/': add it."
        if route.method in _SAFE_METHODS and not route.idempotent:
            yield (
                f"Route {route.method} {route.path} can't be non-idempotent by HTTP:"
                " use POST or mark it idempotent."
            )


def is_ip_address_and_port(address: str) -> bool:
    """Return whether this is host:port with an IP address (IPv6 in brackets)."""
    try:
        _, port = split_address(address)
    except AddressError:
        return False
    # In settings, port 0 means any free port; a target needs a fixed one.
    return port > 0
