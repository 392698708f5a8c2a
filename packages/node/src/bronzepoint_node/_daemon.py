"""The parts of one daemon, put together, started and closed in order."""

from pathlib import Path
from typing import Any, Protocol

import curio

from bronzepoint_common.http import HttpClient, HttpLimits, HttpServer
from bronzepoint_common.logs import JsonLinesHandler, get_logger
from bronzepoint_common.loop_watch import LoopWatch
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_common.settings import cluster_key
from bronzepoint_common.signals import SignalWaiter
from bronzepoint_common.tokens import Tokens
from bronzepoint_node._listening import listening
from bronzepoint_node._load_publisher import LoadPublisher
from bronzepoint_node.agreement import Agreement
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_node.decisions import Decisions
from bronzepoint_node.directory import Directory
from bronzepoint_node.entry import Collaborators, Gateway
from bronzepoint_node.membership import Membership
from bronzepoint_node.orders import Orders
from bronzepoint_node.policy import Policy, RegionHosts
from bronzepoint_node.run_once import RunOnce
from bronzepoint_node.targets import Targets
from bronzepoint_schema.generated.settings import HttpSection, Settings
from bronzepoint_schema.ids import HostName

FORGET_TIMEOUT = 5.0
"""Seconds to wait at shutdown until the region's hosts no longer name this one."""
_log = get_logger("daemon")


class Part(Protocol):
    """Something that a daemon starts and closes."""

    async def start(self) -> Any:
        """Begin to work."""

    async def close(self) -> None:
        """Stop, and give back what it holds."""


class Daemon:
    """One entry host.

    Args:
        settings: Checked settings of this host.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        host = settings.host
        folder = Path(host.data_folder) if host.data_folder else None
        self._metrics = Metrics(settings.metrics, f"bronzepoint.{host.name}")
        self._peers = Peers(
            host.name, settings.listen.peer, cluster_key(settings), self._metrics
        )
        self._client = HttpClient(
            http_limits(settings.http), settings.http.connect_timeout
        )
        self._membership = Membership(settings, self._peers, self._metrics)
        self._catalogue = Catalogue(
            settings, self._peers, self._metrics, self._membership.hosts
        )
        self._agreement = Agreement(
            settings, self._peers, self._catalogue, self._metrics
        )
        self._orders = Orders(
            self._agreement, self._catalogue.view, self._metrics, settings.orders
        )
        self._targets = Targets(
            settings,
            self._catalogue.view,
            self._membership,
            self._client,
            self._metrics,
        )
        self._policy = Policy(
            host.name,
            host.region,
            settings.policy,
            self._peers,
            self._metrics,
            self._catalogue.view,
            self._region_hosts,
        )
        self._run_once = RunOnce(
            host.name,
            self._peers,
            self._known_hosts,
            settings.run_once,
            folder,
            self._metrics,
        )
        self._decisions = Decisions(
            host, self._peers, self._membership, self._metrics, settings.decisions
        )
        self._load = LoadPublisher(
            self._membership,
            self._targets,
            self._policy,
            self._run_once,
            self._catalogue.view,
        )
        self._gateway = Gateway(settings, self._collaborators())
        self._parts: list[Part] = [
            LoopWatch(self._metrics),
            self._membership,
            self._catalogue,
            self._agreement,
            self._targets,
            self._policy,
            self._run_once,
            self._decisions,
            self._orders,
            self._load,
        ]
        self._started: list[Part] = []
        self._membership.on_forgotten(self._gateway.refuse_calls)
        self._server = HttpServer(
            self._gateway.handle,
            http_limits(settings.http),
            on_error=self._gateway.on_http_error,
        )

    async def start(self) -> None:
        """Start every part; callers are let in last.

        Raises:
            AddressUnusable: An address of [listen] can't be listened on.
            StorageCorrupt, StorageInUse: The data folder can't be used.
        """
        listen = self._settings.listen
        await self._start_part(self._metrics)
        with listening("peer", listen.peer):
            await self._start_part(self._peers)
        for part in self._parts:
            await self._start_part(part)
        with listening("http", listen.http):
            await self._server.start(listen.http)
        _log.info("started", http=self._server.address)

    async def close(self) -> None:
        """Leave without cutting a request in progress.

        The other hosts forget this one before it stops accepting: a caller that was
        just told to come here must still be answered, if only by a refusal that names
        other hosts.
        """
        self._drain()
        forgotten = await self._membership.wait_forgotten(FORGET_TIMEOUT)
        _log.info("draining", forgotten=forgotten)
        self._gateway.refuse_calls()
        await self._server.close(self._settings.http.drain_timeout)
        await self.close_parts()
        _log.info("closed")

    async def close_parts(self) -> None:
        """Close what was started, the last first.

        Raises:
            ExceptionGroup: Parts that could not be closed; the others are closed all
                the same, so that one bad file does not keep a record from being
                copied or a log from being synced.
        """
        errors: list[Exception] = []
        while self._started:
            part = self._started.pop()
            try:
                await part.close()
            except Exception as exc:
                errors.append(exc)
        await self._client.close()
        if errors:
            raise ExceptionGroup("some parts could not be closed", errors)

    async def _start_part(self, part: Part) -> None:
        await part.start()
        self._started.append(part)

    def _collaborators(self) -> Collaborators:
        return Collaborators(
            catalogue=self._catalogue.view,
            membership=self._membership,
            directory=Directory(
                self._membership, self._settings.membership.directory_ttl
            ),
            targets=self._targets,
            policy=self._policy,
            run_once=self._run_once,
            decisions=self._decisions,
            agreement=self._agreement,
            orders=self._orders,
            tokens=Tokens(self._settings),
            client=self._client,
            metrics=self._metrics,
            drain=self._drain,
        )

    def _drain(self) -> None:
        """Take no new callers, as soon as nobody is told to come here any more."""
        self._gateway.drain()
        self._membership.set_draining()

    def _region_hosts(self) -> RegionHosts:
        live = self._membership.live(self._settings.host.region)
        return RegionHosts(live=[info.name for info in live], known=self._known_hosts())

    def _known_hosts(self) -> list[HostName]:
        return [info.name for info in self._membership.region_hosts()]


def http_limits(section: HttpSection) -> HttpLimits:
    """Return the bounds of the [http] section for a server or client."""
    return HttpLimits(
        max_head=section.max_head,
        max_body=section.max_body,
        max_connections=section.max_connections,
        head_timeout=section.head_timeout,
        idle_timeout=section.idle_timeout,
        write_timeout=section.write_timeout,
    )


async def run_daemon(settings: Settings, log_handler: JsonLinesHandler) -> None:
    """Run one daemon until SIGTERM or SIGINT; a second signal ends it at once."""
    await curio.spawn(log_handler.flush_periodically, daemon=True)
    async with SignalWaiter() as signals:
        daemon = Daemon(settings)
        try:
            await daemon.start()
        except BaseException:
            await daemon.close_parts()
            raise
        await signals.wait()
        closing = await curio.spawn(daemon.close)
        impatience = await curio.spawn(signals.wait)
        async with curio.TaskGroup([closing, impatience], wait=any):
            pass
