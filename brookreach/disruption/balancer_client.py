"""A marshal's part in the fleet: `brookreach run --fleet`. It says that it stands, and hears what was
agreed.

It owns the marshal's client of the group. No RPC waits for it: whatever fails here costs news, and is tried
again.
"""

from __future__ import annotations

import contextlib
import random
import re
import time
import traceback
from pathlib import Path
from typing import Any, Literal

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.client.events import (
    ClientEvent,
    ClientRejected,
    ReplyReceived,
    RowsChanged,
    SessionEstablished,
    SessionLost,
)
from brookreach.coordination.clock import now_ms
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import AskRestart, MarshalSeen
from brookreach.disruption.endpoint_overlay import Agreed, Overlay
from brookreach.disruption.tables import HALT, MARSHALS, NODES, PERMITS
from brookreach.files import BadFile

WATCHED = (HALT, MARSHALS, NODES, PERMITS)
SERVICE = "marshals"
AGAIN_S = 1.0  # after a defect here


class Attendance:
    """Beside the other tasks of `brookreach.__main__.Parts`. `restarts`: at SIGTERM it asks for a permit, and
    does not wait for it."""

    def __init__(self, parts: Any, path: Path, restarts: bool):
        told = configuration.read(path)
        self.key, self.group, self.addresses, self.timing = (
            configuration.read_key(path, told),
            told.group.name,
            told.addresses(),
            told.times(),
        )
        self.parts, self.restarts, self.name = parts, restarts, parts.report.name
        if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", self.name):
            raise BadFile([f"name {self.name!r}: in a group 1 to 64 of A-Z a-z 0-9 . _ - are allowed"])
        self.zone = str(parts.told["settings"]["zones"][parts.driver.start.place.zone])
        self.overlay = Overlay(lambda: parts.discovery.numbers, parts.driver.told)
        self.overlay.version = parts.discovery.version
        for number, endpoint in parts.driver.nodes.endpoints.items():
            self.overlay.stands[number] = endpoint.listed
        parts.discovery.told = self.overlay.told
        self.begin()

    def begin(self) -> None:
        tables = {name: APPLICATION.tables[name] for name in WATCHED}
        self.agreed = Agreed()
        keepers = tuple(self.addresses)
        self.client = Client(self.name, "marshal", keepers, self.timing, random.Random(), tables)
        self.dial = ClientConnection(self.client, self.group, self.key, self.addresses, self.hear)
        self.seen: Literal["ready", "draining"] = "ready"

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            try:
                await self.dial.run()
            except Exception:  # a defect must not end the marshal
                self.parts.report.say("fault", traceback.format_exc(limit=-2))
            await anyio.sleep(AGAIN_S)
            self.begin()

    def stops(self) -> None:
        """SIGTERM: on its way out while it still answers, and gone as it ends; nothing waits for that."""
        self.seen = "draining"
        if self.restarts:
            self._ask(AskRestart(f"restart.{self.name}.{self.client.session}", self.name, 5, "told to end"))
        self._say()

    async def ends(self) -> None:
        with anyio.move_on_after(0.2):
            await self.dial.close(0.1)

    def _say(self) -> None:
        self._ask(MarshalSeen(self.name, self.zone, 0, SERVICE, self.seen, True, self.client.cache.index))

    def _ask(self, order: Command) -> None:
        """Without a session there is nobody to ask; the next one begins with what stands then."""
        if self.client.session:
            with contextlib.suppress(TooManyRequestsError, SessionNotHeldError):
                self.client.propose(now_ms(), APPLICATION.name, order)
            self.dial.wake()

    def hear(self, event: ClientEvent) -> None:
        say = self.parts.report.say
        match event:
            case SessionEstablished(session=session, replica=keeper, resumed=again):
                say("fleet", f"session {session} {'goes on' if again else 'begins'} with {keeper}")
                if not again:
                    self._say()
            case SessionLost(session=session, reason=why):
                say("fleet", f"session {session} is lost: {why}; what was agreed last stands")
            case RowsChanged():
                self._changed(event)
            case ReplyReceived(ok=False, text=text):
                say("fleet", f"refused: {text}")
            case ClientRejected(reason=why, text=text):
                say("fleet", f"turned away, {why}: {text}")

    def _changed(self, event: RowsChanged) -> None:
        began = time.monotonic()
        moved = self.overlay.agreed(self.agreed.take(self.client.cache, event))
        took = f"told in {(time.monotonic() - began) * 1000.0:.1f} ms"
        for name in moved:
            stands = "drains" if name in self.overlay.names else "is as discovery has it"
            self.parts.report.say("fleet", f"{name} {stands}, agreed at place {event.index}, {took}")
