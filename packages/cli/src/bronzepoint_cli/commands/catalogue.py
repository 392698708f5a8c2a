"""``bronzepoint catalogue``: show and change the catalogue."""

import sys
from collections import Counter
from pathlib import Path
from typing import Annotated

import msgspec
import typer
import uuid_utils

from bronzepoint_cli._errors import UsageFault
from bronzepoint_cli._gateway import Gateway, path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_common.items import item_kind
from bronzepoint_schema.generated.admin import CatalogueAnswer, ItemAnswer
from bronzepoint_schema.generated.agreement import (
    Accepted,
    Change,
    ItemKind,
    Put,
    Remove,
)
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    ServiceEntry,
)
from bronzepoint_schema.ids import ChangeId, OperatorName

app = typer.Typer(
    help="Show and change the catalogue.", no_args_is_help=True, rich_markup_mode=None
)

STANDARD_INPUT = Path("-")
"""File argument that selects standard input."""


class Applied(msgspec.Struct):
    """Result of applying one item."""

    kind: ItemKind
    name: str
    version: int
    revision: int
    change_id: str
    changed: bool


@app.command("apply")
def apply_items(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="JSON file; - reads standard input.")],
    change_id: Annotated[
        str,
        typer.Option(help="Id of an earlier try whose answer was lost (one item)."),
    ] = "",
    json: JsonOption = False,
) -> None:
    """Put items into the catalogue: one JSON object or a list of them.

    An item without a version, or with version 0, gets the version after the current
    one; it is skipped if its content hasn't changed. An item with a version is applied
    only if that is the next version: if two operators apply the same version, one of
    them gets an error that names the other.

    Example: bronzepoint catalogue apply entries.json
    """
    items = read_items(file)
    if change_id and len(items) != 1:
        raise UsageFault("--change-id belongs to one item; give a file with just that")

    async def act(gateway: Gateway) -> list[Applied]:
        present = await gateway.get("/v1/admin/catalogue", CatalogueAnswer)
        return [
            await _apply_item(gateway, present, item, change_id or new_change_id())
            for item in items
        ]

    applied = run_with_gateway(context, act)
    if json:
        print_json(applied)
        return
    for one in applied:
        word = f"revision {one.revision}" if one.changed else "unchanged"
        print(f"{one.kind} {one.name}: version {one.version}, {word}")


@app.command("list")
def list_items(context: typer.Context, json: JsonOption = False) -> None:
    """List all items.

    Example: bronzepoint catalogue list --json
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get("/v1/admin/catalogue", CatalogueAnswer)
    )
    if json:
        print_json(answer)
        return
    rows = (_item_row(item) for item in sorted(answer.items, key=_item_key))
    print_table(("KIND", "NAME", "VERSION", "OWNER", "CLASS", "TARGETS"), rows)
    print(f"revision {answer.revision} at {answer.host}")


@app.command("show")
def show_item(
    context: typer.Context,
    kind: Annotated[ItemKind, typer.Argument(help="Kind of the item.")],
    name: Annotated[str, typer.Argument(help="Name of the item.")],
) -> None:
    """Print one item as JSON, in the form that `apply` takes.

    Example: bronzepoint catalogue show model phrasebook > phrasebook.json
    """
    path = f"/v1/admin/catalogue/{kind}/{path_part(name)}"
    answer = run_with_gateway(context, lambda gateway: gateway.get(path, ItemAnswer))
    print_json(answer.item)


@app.command("remove")
def remove_item(
    context: typer.Context,
    kind: Annotated[ItemKind, typer.Argument(help="Kind of the item.")],
    name: Annotated[str, typer.Argument(help="Name of the item.")],
    version: Annotated[
        int,
        typer.Option(help="Version of the removal; 0 for the next version."),
    ] = 0,
    change_id: Annotated[
        str, typer.Option(help="Id of an earlier try whose answer was lost.")
    ] = "",
    json: JsonOption = False,
) -> None:
    """Remove an item; requests for it are refused from then on.

    Example: bronzepoint catalogue remove model phrasebook
    """
    path = f"/v1/admin/catalogue/{kind}/{path_part(name)}"

    async def act(gateway: Gateway) -> Accepted:
        number = version
        if number == 0:
            present = await gateway.get(path, ItemAnswer)
            number = present.item.version + 1
        change = Change(
            ChangeId(change_id or new_change_id()),
            OperatorName(""),
            number,
            Remove(kind, name),
        )
        return await send_change(gateway, change)

    accepted = run_with_gateway(context, act)
    if json:
        print_json(accepted)
        return
    print(f"{kind} {name}: removed, revision {accepted.revision}")


def read_items(file: Path) -> list[CatalogueItem]:
    """Read items from a file.

    Raises:
        UsageFault: The file can't be read, is no valid JSON, contains an invalid item,
            or the same item twice.
    """
    try:
        data = sys.stdin.buffer.read() if file == STANDARD_INPUT else file.read_bytes()
    except OSError as exc:
        raise UsageFault(f"{file} can't be read ({exc.strerror})") from None
    try:
        # Decoding a union of item and list would not report where a fault is.
        if data.lstrip()[:1] == b"{":
            items = [msgspec.json.decode(data, type=CatalogueItem)]
        else:
            items = msgspec.json.decode(data, type=list[CatalogueItem])
    except msgspec.DecodeError as exc:
        raise UsageFault(f"{file}: {exc}; see docs/operating/catalogue.md") from None
    counts = Counter((item_kind(item), item.name) for item in items)
    for (kind, name), count in counts.items():
        if count > 1:
            raise UsageFault(f"{file}: {kind} {name} stands {count} times; keep one")
    return items


async def _apply_item(
    gateway: Gateway, present: CatalogueAnswer, item: CatalogueItem, change_id: str
) -> Applied:
    kind = item_kind(item)
    known = {(item_kind(old), old.name): old for old in present.items}
    old = known.get((kind, item.name))
    if item.version == 0:
        if old is not None and _same(old, item):
            return Applied(kind, item.name, old.version, present.revision, "", False)
        item = msgspec.structs.replace(item, version=old.version + 1 if old else 1)
    change = Change(ChangeId(change_id), OperatorName(""), item.version, Put(item))
    accepted = await send_change(gateway, change)
    revision, version = accepted.revision, accepted.version
    return Applied(kind, item.name, version, revision, change_id, True)


async def send_change(gateway: Gateway, change: Change) -> Accepted:
    """Send a change until it is answered; its id ensures that it is applied once.

    Raises:
        CliError: The change was refused, or its outcome is unknown; in that case the
            message says how to resend it.
    """
    body = msgspec.json.encode(change)
    advice = f"apply again with --change-id {change.change_id}: it can't apply twice"
    return await gateway.post("/v1/admin/changes", body, Accepted, advice)


def new_change_id() -> str:
    """Return a UUIDv7; hosts read the age of the change from its timestamp."""
    return str(uuid_utils.uuid7())


def _same(old: CatalogueItem, new: CatalogueItem) -> bool:
    return msgspec.structs.replace(old, version=0) == new


def _item_key(item: CatalogueItem) -> tuple[str, str]:
    return item_kind(item), item.name


def _item_row(item: CatalogueItem) -> tuple[object, ...]:
    kind = item_kind(item)
    match item:
        case ModelEntry() | ServiceEntry():
            count = len(item.targets)
            owner, entry_class = item.owner, item.entry_class
            return kind, item.name, item.version, owner, entry_class, count
        case _:
            return kind, item.name, item.version, "", "", ""


__all__ = ["app"]
