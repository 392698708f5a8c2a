"""Periodically publishes this host's load to the other hosts."""

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_node.catalogue import CatalogueView
from bronzepoint_node.membership import LoadSummary, Membership
from bronzepoint_node.policy import Policy
from bronzepoint_node.run_once import RunOnce
from bronzepoint_node.targets import Targets
from bronzepoint_schema.generated.membership import EntryShare

PUBLISH_INTERVAL = 0.5
"""Seconds between two load summaries; gossip sends the latest one."""


class LoadPublisher:
    """Builds the load summary of this host and publishes it to membership."""

    def __init__(
        self,
        membership: Membership,
        targets: Targets,
        policy: Policy,
        run_once: RunOnce,
        view: CatalogueView,
    ) -> None:
        self._membership = membership
        self._targets = targets
        self._policy = policy
        self._run_once = run_once
        self._view = view
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start publishing."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop publishing."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            self._membership.publish(self._summary())
            await curio.sleep(PUBLISH_INTERVAL)

    def _summary(self) -> LoadSummary:
        entries = [self._with_queue(share) for share in self._targets.shares()]
        slots = sum(share.slots for share in entries)
        in_progress = sum(share.in_progress for share in entries)
        return LoadSummary(
            load=in_progress / slots if slots else 0.0,
            revision=self._view.revision,
            run_once_ready=self._run_once.ready,
            entries=entries,
        )

    def _with_queue(self, share: EntryShare) -> EntryShare:
        queued = self._policy.queued(share.entry)
        if not share.in_progress and not queued:
            return share
        return msgspec.structs.replace(
            share,
            in_progress=share.in_progress + queued,
            expected_wait=self._policy.expected_wait(share.entry),
        )
