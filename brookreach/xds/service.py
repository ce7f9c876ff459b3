"""The control service as a process: a module without clients, fed by discovery and platform."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import anyio

from brookreach.__main__ import Parts
from brookreach.configuration import read_json_object
from brookreach.files import InvalidFileError
from brookreach.net.endpoint import Listed
from brookreach.net.report import Writers
from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds import store
from brookreach.xds.book import Book
from brookreach.xds.config import ControlFile, read
from brookreach.xds.records import Seat
from brookreach.xds.serve import Front, server
from brookreach.xds.view import view_of


class Service:
    """All parts of one control service."""

    def __init__(self, path: Path, told: ControlFile, lines: Writers | None = None):
        self.path, self.told = path, told
        marshal = read_json_object(str(path.parent / told.serve.marshal), f"{path}: serve.marshal")
        self.parts = Parts(marshal, lines)
        self.say = lambda text: self.parts.report.say("xds", text)
        zones = list(marshal["settings"]["zones"])
        life = f"{time.time_ns():x}"  # unlike that of any life before it
        self.book = Book(
            self.parts.driver.start,
            zones,
            life,
            told.serve.merge_ms,
            told.serve.forget_ms,
            told.serve.linger_ms,
        )
        self.front = Front(
            self.book, self.say, told.allowed(), streams=told.serve.streams, clock=self.parts.driver.clock.now
        )
        self.credentials_reloader = self._make_credentials_reloader()
        self.seats: dict[int, Seat] = {}
        self.heard = False  # of discovery, in this life
        self.port = 0
        # The configuration's own list has been read already: seats come with discovery's first.
        listing = self.parts.discovery.told
        self.parts.discovery.told = self._both(listing)
        self.serving = anyio.Event()

    def _make_credentials_reloader(self) -> CredentialsReloader | None:
        tls = self.told.tls
        if tls is None:
            return None
        folder = self.path.parent
        trusted = folder / tls.trusted if tls.trusted else None
        return CredentialsReloader(
            folder / tls.certificate,
            folder / tls.key,
            trusted,
            tls.name,
            lambda text: self.parts.report.say("tls", text),
        )

    def _both(self, listing: Any) -> Any:
        def told(news: Any, listed: list[Listed]) -> None:
            listing(news, listed)
            for one in listed:
                self.seats[one.entry.node] = Seat(one.entry.node, *one.address)
            self.heard = True

        return told

    def look(self) -> None:
        """The module's view as it stands now goes to the book; what has gone from the list loses its seat."""
        driver = self.parts.driver
        if not self.heard:
            return
        view = view_of(driver.marshal, driver.clock.now())
        known = {node.entry.node for node in view.nodes}
        self.seats = {node: seat for node, seat in self.seats.items() if node in known}
        self.front.update(view, self.seats)

    async def run(self) -> None:
        made, self.port = server(self.front, self.told.serve.listen, self.credentials_reloader)
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
                    self.front.publish,
                    self.watch,
                    self.keys,
                ):
                    tasks.start_soon(task)
                with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                    self.say(f"serves on port {self.port}, {'TLS' if self.credentials_reloader else 'plain'}")
                    self.serving.set()
                    async for one in signals:
                        if one != signal.SIGHUP:
                            self.say(f"ends, {len(self.front.wakes)} streams")
                            tasks.cancel_scope.cancel()
                            break
                        self.reload()
        finally:
            with anyio.CancelScope(shield=True):
                await made.stop(0.2)
            self.parts.poller.close()

    async def watch(self) -> None:
        """Looks at the module as often as told, and at once after a list or news."""
        last: object = None
        while True:
            self.look()
            if self._stands() != last:
                last = self._stands()
                self._save()
            for _ in range(max(1, round(self.told.serve.view_ms / 20.0))):
                await anyio.sleep(0.02)
                if self._stands() != last:
                    break  # a drain waits for no beat

    def _stands(self) -> tuple[object, ...]:
        """What is looked at and kept at once when it changes; news told again are no change."""
        news = self.parts.driver.news
        return self.parts.discovery.version, news and (news.build, news.stage, news.phase, news.cap)

    async def keys(self) -> None:
        while True:
            await anyio.sleep((self.told.tls.look_ms if self.told.tls else 60_000.0) / 1000.0)
            if self.credentials_reloader is not None:
                self.credentials_reloader.reload()
                left = self.credentials_reloader.credentials.days_left(self.credentials_reloader.now())
                if left < 14.0:
                    self.parts.report.say(
                        "tls", f"{left:.1f} days left of serial {self.credentials_reloader.credentials.serial}"
                    )

    def reload(self) -> None:
        """SIGHUP: what can't be read changes nothing."""
        try:
            told = read(self.path)
        except InvalidFileError as error:
            return self.say(f"configuration not taken: {error}")
        other = [
            name
            for name in ("listen", "marshal", "keep")
            if getattr(told.serve, name) != getattr(self.told.serve, name)
        ]
        self.told = told
        self.front.allowed = told.allowed()
        self.book.merge_ms, self.book.linger_ms = told.serve.merge_ms, told.serve.linger_ms
        if self.credentials_reloader is not None:
            self.credentials_reloader.reload()
        self.say("configuration read" + (f"; {', '.join(other)} stay until a restart" if other else ""))

    def _restore(self) -> None:
        if not self.told.serve.keep:
            return
        held, lines = store.load(self.path.parent / self.told.serve.keep)
        for line in lines:
            self.say(line)
        if held is not None:
            view, seats = held
            self.say(f"serves the last view until discovery is heard: {len(view.nodes)} nodes, no build on trial")
            self.front.update(view, {seat.node: seat for seat in seats})

    def _save(self) -> None:
        if not self.told.serve.keep or self.book.view is None or not self.heard:
            return
        try:
            store.save(self.path.parent / self.told.serve.keep, self.book.view, list(self.seats.values()))
        except OSError as error:
            self.say(f"the view can't be kept: {error.strerror}")
