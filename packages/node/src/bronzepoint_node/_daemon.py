"""Builds the components of a daemon, and starts and closes them in order."""

import signal
from pathlib import Path
from typing import Any, Protocol

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.http import HttpClient, HttpLimits, HttpServer, client_memory
from bronzepoint_common.logs import JsonLinesHandler, get_logger
from bronzepoint_common.loop_lag_monitor import LoopLagMonitor
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_common.settings import cluster_key
from bronzepoint_common.signals import STOP_SIGNALS, SignalWaiter
from bronzepoint_common.tokens import Tokens
from bronzepoint_node._listening import listening
from bronzepoint_node._load_publisher import LoadPublisher
from bronzepoint_node._settings_watcher import SettingsWatcher
from bronzepoint_node.agreement import Agreement
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_node.decisions import Decisions
from bronzepoint_node.directory import Directory
from bronzepoint_node.entry import Dependencies, Gateway
from bronzepoint_node.membership import Membership
from bronzepoint_node.orders import Orders
from bronzepoint_node.policy import Policy, RegionHosts
from bronzepoint_node.run_once import RunOnce
from bronzepoint_node.targets import Targets
from bronzepoint_schema.generated.settings import HttpSection, Settings
from bronzepoint_schema.ids import HostName

DRAIN_ACK_TIMEOUT = 5.0
"""Seconds to wait at shutdown until the region's hosts know that this one drains."""
_log = get_logger("daemon")


class Component(Protocol):
    """Component that a daemon starts and closes."""

    async def start(self) -> Any:
        """Start the component."""

    async def close(self) -> None:
        """Stop the component and release its resources."""


class Daemon:
    """One entry host.

    Args:
        settings: Checked settings of this host.
        path: Their file.
    """

    def __init__(self, settings: Settings, path: Path) -> None:
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
        self._settings_watcher = SettingsWatcher(path, self._membership.add_contacts)
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
            settings.placement.spread_by_age,
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
        self._gateway = Gateway(settings, self._dependencies())
        self._components: list[Component] = [
            LoopLagMonitor(self._metrics),
            self._membership,
            self._catalogue,
            self._agreement,
            self._targets,
            self._policy,
            self._run_once,
            self._decisions,
            self._orders,
            self._load,
            self._settings_watcher,
        ]
        self._started: list[Component] = []
        self._membership.on_drain_acknowledged(self._gateway.refuse_calls)
        self._server = HttpServer(
            self._gateway.handle,
            http_limits(settings.http),
            on_error=self._gateway.on_http_error,
            memory=client_memory(max_bytes=settings.http.client_memory),
        )

    async def start(self) -> None:
        """Start every component; the port for callers is opened last.

        Raises:
            AddressUnusable: An address of [listen] can't be listened on.
            StorageCorrupt, StorageInUse: The data folder is damaged or in use.
        """
        listen = self._settings.listen
        await self._start_component(self._metrics)
        with listening("peer", listen.peer):
            await self._start_component(self._peers)
        for component in self._components:
            await self._start_component(component)
        with listening("http", listen.http):
            await self._server.start(listen.http)
        _log.info("started", http=self._server.address)

    async def close(self) -> None:
        """Drain and stop without truncating a request in progress.

        The region's hosts stop naming this host before it stops accepting: a caller
        that was just directed here must still get an answer, if only a refusal that
        names other hosts.
        """
        self._drain()
        acknowledged = await self._membership.wait_drain_acknowledged(DRAIN_ACK_TIMEOUT)
        _log.info("draining", forgotten=acknowledged)
        self._gateway.refuse_calls()
        await self._server.close(self._settings.http.drain_timeout)
        await self.close_components()
        _log.info("closed")

    async def close_components(self) -> None:
        """Close the started components in reverse order.

        Raises:
            ExceptionGroup: Errors of the components that could not be closed. The
                others are still closed, so that one bad file does not prevent a
                record from being copied or a log from being synced.
        """
        errors: list[Exception] = []
        while self._started:
            component = self._started.pop()
            try:
                await component.close()
            except Exception as exc:
                errors.append(exc)
        await self._client.close()
        if errors:
            raise ExceptionGroup("some components could not be closed", errors)

    async def _start_component(self, component: Component) -> None:
        await component.start()
        self._started.append(component)

    def _dependencies(self) -> Dependencies:
        return Dependencies(
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
        """Start draining; callers are refused once no host directs them here."""
        self._gateway.drain()
        self._membership.set_draining()

    def _region_hosts(self) -> RegionHosts:
        live = self._membership.live(self._settings.host.region)
        return RegionHosts(
            live=[info.name for info in live],
            known=self._known_hosts(),
            regions=self._membership.region_count(),
        )

    def reload(self) -> None:
        """Read the hosts of the settings again if the file has changed."""
        self._settings_watcher.check()

    def _known_hosts(self) -> list[HostName]:
        return [info.name for info in self._membership.region_hosts()]


def http_limits(section: HttpSection) -> HttpLimits:
    """Return the limits in the [http] section, for a server or client."""
    return HttpLimits(
        max_head=section.max_head,
        max_body=section.max_body,
        max_connections=section.max_connections,
        head_timeout=section.head_timeout,
        idle_timeout=section.idle_timeout,
        write_timeout=section.write_timeout,
    )


async def run_daemon(
    settings: Settings, log_handler: JsonLinesHandler, path: Path
) -> None:
    """Run one daemon until SIGTERM or SIGINT; a second signal stops it immediately.

    SIGHUP makes it read the hosts of the settings again.
    """
    await spawn_background(log_handler.flush_periodically)
    async with SignalWaiter((*STOP_SIGNALS, signal.SIGHUP)) as signals:
        daemon = Daemon(settings, path)
        try:
            await daemon.start()
        except BaseException:
            await daemon.close_components()
            raise
        await _wait_stop(signals, daemon)
        closing = await curio.spawn(daemon.close)
        second_signal = await curio.spawn(_wait_stop, signals, daemon)
        async with curio.TaskGroup([closing, second_signal], wait=any):
            pass


async def _wait_stop(signals: SignalWaiter, daemon: Daemon) -> None:
    while await signals.wait() == signal.SIGHUP:
        daemon.reload()
