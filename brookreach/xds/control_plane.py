"""The control plane as a process: a balancer without clients, fed by discovery and the platform."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from brookreach import interface as ifc
from brookreach.configuration import read_json_object
from brookreach.files import InvalidFileError
from brookreach.net.endpoint import ListedNode
from brookreach.net.report import LineWriterFactory
from brookreach.net.runtime import BalancerRuntime
from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds import store
from brookreach.xds.ads_server import AdsServer
from brookreach.xds.config import ControlFile, read_configuration
from brookreach.xds.grpc_server import create_server
from brookreach.xds.records import NodeAddress
from brookreach.xds.snapshot_cache import SnapshotCache
from brookreach.xds.view import balancer_view

ListHandler = Callable[[ifc.NodeList, list[ListedNode]], None]

RESTART_KEYS = {"listen": "listen", "marshal": "balancer", "keep": "state_file"}
"""Keys of [serve] that are read at the start only, with their attributes."""

POLL_INTERVAL_MS = 20.0
CREDENTIALS_INTERVAL_MS = 60_000.0
"""How often the task for credentials wakes up where no TLS is configured."""

EXPIRY_WARNING_DAYS = 14.0
STOP_GRACE_S = 0.2


class ControlPlane:
    """All parts of one control plane.

    Attributes:
        path: The configuration file.
        configuration: The values in use.
        runtime: The balancer's.
        cache: The snapshot and the proxies.
        ads: The streams.
        credentials_reloader: The credentials for TLS; None for plain text.
        addresses: Where nodes listen, by node.
        discovery_received: Whether discovery has been heard since the start.
        port: Where it listens; 0 before `run`.
        serving: Set once it serves.
    """

    def __init__(self, path: Path, configuration: ControlFile, lines: LineWriterFactory | None = None):
        """Build all parts.

        Args:
            path: The configuration file, in whose folder the other files stand.
            configuration: Its values.
            lines: Where the log goes.

        Raises:
            StartupError: The balancer's configuration can't be used.
            InvalidCredentialsError: The credentials can't be used.
        """
        self.path = path
        self.configuration = configuration
        serve = configuration.serve
        balancer = read_json_object(str(path.parent / serve.balancer), f"{path}: serve.marshal")
        self.runtime = BalancerRuntime(balancer, lines)
        zones = list(balancer["settings"]["zones"])
        instance_id = f"{time.time_ns():x}"  # unlike that of any earlier instance
        self.cache = SnapshotCache(
            self.runtime.driver.settings,
            zones,
            instance_id,
            serve.merge_ms,
            serve.proxy_ttl_ms,
            serve.removal_grace_ms,
        )
        self.ads = AdsServer(
            self.cache,
            self.log,
            configuration.permissions(),
            max_streams=serve.max_streams,
            clock=self.runtime.driver.clock.now_ms,
        )
        self.credentials_reloader = self._make_credentials_reloader()
        self.addresses: dict[int, NodeAddress] = {}
        self.discovery_received = False
        self.port = 0
        # The list in the balancer's configuration has been read already: addresses come with discovery's first list.
        self.runtime.discovery.on_node_list = self._recording_addresses(self.runtime.discovery.on_node_list)
        self.serving = anyio.Event()

    def log(self, text: str) -> None:
        """Write a line of log."""
        self.runtime.report.log("xds", text)

    def _log_tls(self, text: str) -> None:
        self.runtime.report.log("tls", text)

    def _make_credentials_reloader(self) -> CredentialsReloader | None:
        tls = self.configuration.tls
        if tls is None:
            return None
        folder = self.path.parent
        trusted_roots = folder / tls.trusted_roots if tls.trusted_roots else None
        return CredentialsReloader(folder / tls.certificate, folder / tls.key, trusted_roots, tls.name, self._log_tls)

    def _recording_addresses(self, handle_list: ListHandler) -> ListHandler:
        """Return a handler of discovery's lists that calls another one and then records the nodes' addresses."""

        def handle(node_list: ifc.NodeList, listed: list[ListedNode]) -> None:
            handle_list(node_list, listed)
            for node in listed:
                self.addresses[node.entry.node] = NodeAddress(node.entry.node, *node.address)
            self.discovery_received = True

        return handle

    def refresh_view(self) -> None:
        """Serve the balancer's present view, and forget the addresses of nodes that are no longer listed."""
        driver = self.runtime.driver
        if not self.discovery_received:
            return
        view = balancer_view(driver.balancer, driver.clock.now_ms())
        known = {node.entry.node for node in view.nodes}
        self.addresses = {node: address for node, address in self.addresses.items() if node in known}
        self.ads.update(view, self.addresses)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; SIGHUP reads the configuration again.

        Raises:
            OSError: The address can't be listened on.
        """
        server, self.port = create_server(self.ads, self.configuration.serve.listen, self.credentials_reloader)
        self._restore()
        await server.start()
        driver = self.runtime.driver
        try:
            async with anyio.create_task_group() as tasks:
                driver.vote = lambda vote: tasks.start_soon(self.runtime.platform.vote, vote)
                for task in (
                    driver.run,
                    self.runtime.platform.follow,
                    self.runtime.discovery.follow,
                    self.ads.publish,
                    self.watch_view,
                    self.reload_credentials,
                ):
                    tasks.start_soon(task)
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                    self.log(f"serves on port {self.port}, {'TLS' if self.credentials_reloader else 'plain'}")
                    self.serving.set()
                    async for number in signals:
                        if number != signal.SIGHUP:
                            self.log(f"ends, {len(self.ads.wakeups)} streams")
                            tasks.cancel_scope.cancel()
                            break
                        self.reload()
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop(STOP_GRACE_S)
            self.runtime.poller.close()

    async def watch_view(self) -> None:
        """Refresh the view as often as configured, and at once after a list or a rollout's news, until cancelled."""
        last: object = None
        while True:
            self.refresh_view()
            if self._versions() != last:
                last = self._versions()
                self._save()
            for _ in range(max(1, round(self.configuration.serve.view_interval_ms / POLL_INTERVAL_MS))):
                await anyio.sleep(POLL_INTERVAL_MS / 1000.0)
                if self._versions() != last:
                    break  # a drain must not wait for the interval's end

    def _versions(self) -> tuple[object, ...]:
        """Return what is served and stored at once when it changes; news that repeat themselves are no change."""
        news = self.runtime.driver.rollout_status
        return self.runtime.discovery.version, news and (news.build, news.stage, news.phase, news.cap)

    async def reload_credentials(self) -> None:
        """Read the credentials' files when they change, and warn of their expiry, until cancelled."""
        while True:
            tls = self.configuration.tls
            await anyio.sleep((tls.reload_interval_ms if tls else CREDENTIALS_INTERVAL_MS) / 1000.0)
            if self.credentials_reloader is not None:
                self.credentials_reloader.reload()
                credentials = self.credentials_reloader.credentials
                days_left = credentials.days_left(self.credentials_reloader.now())
                if days_left < EXPIRY_WARNING_DAYS:
                    self._log_tls(f"{days_left:.1f} days left of serial {credentials.serial}")

    def reload(self) -> None:
        """Read the configuration again; one that can't be used changes nothing."""
        try:
            configuration = read_configuration(self.path)
        except InvalidFileError as error:
            self.log(f"configuration not taken: {error}")
            return
        unchanged = [
            key
            for key, attribute in RESTART_KEYS.items()
            if getattr(configuration.serve, attribute) != getattr(self.configuration.serve, attribute)
        ]
        self.configuration = configuration
        self.ads.permissions = configuration.permissions()
        self.cache.merge_ms = configuration.serve.merge_ms
        self.cache.removal_grace_ms = configuration.serve.removal_grace_ms
        if self.credentials_reloader is not None:
            self.credentials_reloader.reload()
        self.log("configuration read" + (f"; {', '.join(unchanged)} stay until a restart" if unchanged else ""))

    def _restore(self) -> None:
        """Serve the stored view until discovery is heard."""
        if not self.configuration.serve.state_file:
            return
        stored, lines = store.load(self.path.parent / self.configuration.serve.state_file)
        for line in lines:
            self.log(line)
        if stored is not None:
            view, addresses = stored
            self.log(f"serves the last view until discovery is heard: {len(view.nodes)} nodes, no build on trial")
            self.ads.update(view, {address.node: address for address in addresses})

    def _save(self) -> None:
        """Store the view, but never one that was not made since the start."""
        if not self.configuration.serve.state_file or self.cache.view is None or not self.discovery_received:
            return
        path = self.path.parent / self.configuration.serve.state_file
        try:
            store.save(path, self.cache.view, list(self.addresses.values()))
        except OSError as error:
            self.log(f"the view can't be kept: {error.strerror}")
