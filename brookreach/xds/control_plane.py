"""The control service as a process: a module without clients, fed by discovery and platform."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import anyio

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

RESTART_KEYS = {"listen": "listen", "marshal": "balancer", "keep": "state_file"}
"""Keys of [serve] that are read at the start only, with their attributes."""


class ControlPlane:
    """All parts of one control service."""

    def __init__(self, path: Path, told: ControlFile, lines: LineWriterFactory | None = None):
        self.path, self.configuration = path, told
        marshal = read_json_object(str(path.parent / told.serve.balancer), f"{path}: serve.marshal")
        self.parts = BalancerRuntime(marshal, lines)
        self.log = lambda text: self.parts.report.log("xds", text)
        zones = list(marshal["settings"]["zones"])
        instance_id = f"{time.time_ns():x}"  # unlike that of any life before it
        self.cache = SnapshotCache(
            self.parts.driver.settings,
            zones,
            instance_id,
            told.serve.merge_ms,
            told.serve.proxy_ttl_ms,
            told.serve.removal_grace_ms,
        )
        self.ads = AdsServer(
            self.cache,
            self.log,
            told.permissions(),
            max_streams=told.serve.max_streams,
            clock=self.parts.driver.clock.now_ms,
        )
        self.credentials_reloader = self._make_credentials_reloader()
        self.addresses: dict[int, NodeAddress] = {}
        self.discovery_received = False  # of discovery, in this life
        self.port = 0
        # The configuration's own list has been read already: seats come with discovery's first.
        listing = self.parts.discovery.on_node_list
        self.parts.discovery.on_node_list = self._both(listing)
        self.serving = anyio.Event()

    def _make_credentials_reloader(self) -> CredentialsReloader | None:
        tls = self.configuration.tls
        if tls is None:
            return None
        folder = self.path.parent
        trusted = folder / tls.trusted_roots if tls.trusted_roots else None
        return CredentialsReloader(
            folder / tls.certificate,
            folder / tls.key,
            trusted,
            tls.name,
            lambda text: self.parts.report.log("tls", text),
        )

    def _both(self, listing: Any) -> Any:
        def told(news: Any, listed: list[ListedNode]) -> None:
            listing(news, listed)
            for one in listed:
                self.addresses[one.entry.node] = NodeAddress(one.entry.node, *one.address)
            self.discovery_received = True

        return told

    def refresh_view(self) -> None:
        """The module's view as it stands now goes to the book; what has gone from the list loses its seat."""
        driver = self.parts.driver
        if not self.discovery_received:
            return
        view = balancer_view(driver.balancer, driver.clock.now_ms())
        known = {node.entry.node for node in view.nodes}
        self.addresses = {node: seat for node, seat in self.addresses.items() if node in known}
        self.ads.update(view, self.addresses)

    async def run(self) -> None:
        made, self.port = create_server(self.ads, self.configuration.serve.listen, self.credentials_reloader)
        self._restore()
        await made.start()
        driver = self.parts.driver
        try:
            async with anyio.create_task_group() as tasks:
                driver.vote = lambda vote: tasks.start_soon(self.parts.platform.vote, vote)
                for task in (
                    driver.run,
                    self.parts.platform.follow,
                    self.parts.discovery.follow,
                    self.ads.publish,
                    self.watch_view,
                    self.reload_credentials,
                ):
                    tasks.start_soon(task)
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                    self.log(f"serves on port {self.port}, {'TLS' if self.credentials_reloader else 'plain'}")
                    self.serving.set()
                    async for one in signals:
                        if one != signal.SIGHUP:
                            self.log(f"ends, {len(self.ads.wakeups)} streams")
                            tasks.cancel_scope.cancel()
                            break
                        self.reload()
        finally:
            with anyio.CancelScope(shield=True):
                await made.stop(0.2)
            self.parts.poller.close()

    async def watch_view(self) -> None:
        """Looks at the module as often as told, and at once after a list or news."""
        last: object = None
        while True:
            self.refresh_view()
            if self._stands() != last:
                last = self._stands()
                self._save()
            for _ in range(max(1, round(self.configuration.serve.view_interval_ms / 20.0))):
                await anyio.sleep(0.02)
                if self._stands() != last:
                    break  # a drain waits for no beat

    def _stands(self) -> tuple[object, ...]:
        """What is looked at and kept at once when it changes; news told again are no change."""
        news = self.parts.driver.rollout_status
        return self.parts.discovery.version, news and (news.build, news.stage, news.phase, news.cap)

    async def reload_credentials(self) -> None:
        while True:
            await anyio.sleep(
                (self.configuration.tls.reload_interval_ms if self.configuration.tls else 60_000.0) / 1000.0
            )
            if self.credentials_reloader is not None:
                self.credentials_reloader.reload()
                left = self.credentials_reloader.credentials.days_left(self.credentials_reloader.now())
                if left < 14.0:
                    self.parts.report.log(
                        "tls", f"{left:.1f} days left of serial {self.credentials_reloader.credentials.serial}"
                    )

    def reload(self) -> None:
        """SIGHUP: what can't be read changes nothing."""
        try:
            told = read_configuration(self.path)
        except InvalidFileError as error:
            return self.log(f"configuration not taken: {error}")
        other = [
            key
            for key, attribute in RESTART_KEYS.items()
            if getattr(told.serve, attribute) != getattr(self.configuration.serve, attribute)
        ]
        self.configuration = told
        self.ads.permissions = told.permissions()
        self.cache.merge_ms, self.cache.removal_grace_ms = told.serve.merge_ms, told.serve.removal_grace_ms
        if self.credentials_reloader is not None:
            self.credentials_reloader.reload()
        self.log("configuration read" + (f"; {', '.join(other)} stay until a restart" if other else ""))

    def _restore(self) -> None:
        if not self.configuration.serve.state_file:
            return
        held, lines = store.load(self.path.parent / self.configuration.serve.state_file)
        for line in lines:
            self.log(line)
        if held is not None:
            view, seats = held
            self.log(f"serves the last view until discovery is heard: {len(view.nodes)} nodes, no build on trial")
            self.ads.update(view, {seat.node: seat for seat in seats})

    def _save(self) -> None:
        if not self.configuration.serve.state_file or self.cache.view is None or not self.discovery_received:
            return
        try:
            store.save(
                self.path.parent / self.configuration.serve.state_file, self.cache.view, list(self.addresses.values())
            )
        except OSError as error:
            self.log(f"the view can't be kept: {error.strerror}")
