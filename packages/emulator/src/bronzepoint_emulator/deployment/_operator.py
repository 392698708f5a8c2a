"""Operator requests to a host over its HTTP interface."""

import time
from typing import Any

import msgspec
import uuid_utils

from bronzepoint_emulator.deployment._client import Client, Reply
from bronzepoint_emulator.deployment._errors import RequestFailed
from bronzepoint_emulator.deployment._waiting import MAX_WAIT, POLL
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
)

RETRY_STATUSES = (502, 503, 504)
"""Answers after which a request is sent again."""


def item_kind(item: CatalogueItem) -> str:
    """Return the name of an item's kind in the HTTP interface."""
    match item:
        case ModelEntry():
            return "model"
        case ServiceEntry():
            return "service"
        case OwnerItem():
            return "owner"
        case ClassItem():
            return "class"


class Operator:
    """Client of one operator at one host.

    Args:
        address: ``host:port`` of the host.
        token: The operator's token.
        name: The operator's name.
    """

    def __init__(self, address: str, token: str, name: str) -> None:
        self.client = Client(address, token)
        self.name = name

    def initialise(self) -> None:
        """Form the cluster; idempotent."""
        self._post_with_retries("/v1/admin/init", {})

    def put(self, item: CatalogueItem) -> int:
        """Declare an item, whose version must be the next one.

        Returns:
            The revision at which it was accepted.
        """
        return int(self.change(self.put_body(item)).json()["revision"])

    def put_body(self, item: CatalogueItem, change_id: str = "") -> dict[str, Any]:
        """Return the change that declares an item."""
        return {
            "change_id": change_id or str(uuid_utils.uuid7()),
            "operator": self.name,
            "version": item.version,
            "op": {"kind": "put", "item": msgspec.to_builtins(item)},
        }

    def remove_body(self, kind: str, name: str, version: int) -> dict[str, Any]:
        """Return the change that removes an item."""
        return {
            "change_id": str(uuid_utils.uuid7()),
            "operator": self.name,
            "version": version,
            "op": {"kind": "remove", "item_kind": kind, "name": name},
        }

    def change(self, body: dict[str, Any]) -> Reply:
        """Send a change, retrying with the same change id until it is accepted."""
        return self._post_with_retries("/v1/admin/changes", body)

    def try_change(self, body: dict[str, Any]) -> Reply:
        """Send a change once and return the answer."""
        return self.client.post("/v1/admin/changes", body)

    def _post_with_retries(self, path: str, body: Any) -> Reply:
        deadline = time.monotonic() + MAX_WAIT
        while True:
            reply = self.client.post(path, body)
            if reply.status < 300:
                return reply
            if reply.status not in RETRY_STATUSES or time.monotonic() > deadline:
                raise RequestFailed(f"POST {path}", reply.status, reply.body)
            time.sleep(POLL)

    def status(self) -> dict[str, Any]:
        """Return the host's status."""
        return self._get("/v1/admin/status")

    def catalogue(self) -> Any:
        """Return the host's view of the catalogue."""
        return self._get("/v1/admin/catalogue")

    def hosts(self) -> Any:
        """Return the hosts that this one knows."""
        return self._get("/v1/admin/hosts")

    def targets(self) -> Any:
        """Return the targets that this host sees."""
        return self._get("/v1/admin/targets")

    def counters(self) -> Any:
        """Return the host's counters."""
        return self._get("/v1/admin/counters")

    def why(self, request_id: str) -> Any:
        """Return the decision records of a request."""
        return self._get(f"/v1/why/{request_id}")

    def drain(self, host: str) -> Reply:
        """Drain a host: it accepts no new callers."""
        return self.client.post(f"/v1/admin/drain/{host}", {})

    def _get(self, path: str) -> Any:
        reply = self.client.get(path)
        if reply.status != 200:
            raise RequestFailed(f"GET {path}", reply.status, reply.body)
        return reply.json()
