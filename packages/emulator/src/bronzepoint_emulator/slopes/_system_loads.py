"""Loads for the measurements on a deployment."""

import time
from collections.abc import Callable

import curio
import msgspec

from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_common.load import Load, LoadCall, LoadResult, arrival_times
from bronzepoint_emulator.deployment import (
    Client,
    Deployment,
    Operator,
    chat_body,
    new_key,
)
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    Limits,
    ModelEntry,
    OwnerItem,
)
from bronzepoint_schema.ids import EntryName, OwnerName

CONTESTED_ITEM = EntryName("tour-notes")
SEED = 1
"""Seed of the arrival times."""


def lookups(number: int) -> LoadCall:
    """Return an idempotent service call."""
    return LoadCall("GET", "/v1/services/phrases/lookup", stream=False)


def saves(number: int) -> LoadCall:
    """Return a non-idempotent service call with a new idempotency key."""
    return LoadCall(
        "POST",
        "/v1/services/phrases/saved",
        b'{"phrase":"sabaidee"}',
        {"idempotency-key": new_key(), "content-type": "application/json"},
        stream=False,
    )


def chats(number: int) -> LoadCall:
    """Return a short model call with a unique prompt."""
    body = chat_body("phrasebook", f"{number} please translate", 2, stream=True)
    return LoadCall("POST", "/v1/chat/completions", msgspec.json.encode(body))


def send_load(
    client: Client, call: Callable[[int], LoadCall], rate: float, seconds: float
) -> LoadResult:
    """Send calls to one host at a rate and wait for their answers."""

    async def run() -> LoadResult:
        http = HttpClient(HttpLimits(), 5.0)
        load = Load(http, [client.address], client.token)
        result = await load.run(arrival_times(rate, seconds, SEED), call)
        await http.close()
        return result

    return curio.run(run)


def send_changes(operator: Operator, rate: float, seconds: float) -> int:
    """Change one entry at a rate and return the number of changes."""
    path = f"/v1/admin/catalogue/model/{CONTESTED_ITEM}"
    item = msgspec.convert(operator.client.get(path).json()["item"], type=ModelEntry)
    began = time.monotonic()
    count = 0
    while time.monotonic() - began < seconds:
        due = began + count / rate
        time.sleep(max(0.0, due - time.monotonic()))
        item = msgspec.structs.replace(
            item, version=item.version + 1, worth=float(count + 1)
        )
        operator.put(item)
        count += 1
    return count


def owner_items(first: int, last: int) -> list[CatalogueItem]:
    """Return organisations, each with a limit."""
    return [
        OwnerItem(OwnerName(f"organisation-{number:05}"), 1, limits=Limits(rate=10.0))
        for number in range(first, last)
    ]


def entry_items(deployment: Deployment, first: int, last: int) -> list[CatalogueItem]:
    """Return model entries with six targets each."""
    sample = next(
        item for item in deployment.catalogue() if isinstance(item, ModelEntry)
    )
    return [
        msgspec.structs.replace(sample, name=EntryName(f"entry-{number:05}"))
        for number in range(first, last)
    ]
