"""A hollow marshal: the real attendance of a marshal in its group, without clients, nodes, discovery or platform.

It owns what stands in for the parts of a marshal that face RPCs, and counts what the connection to a keeper carries.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace

import anyio
import anyio.abc

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.events import ClientEvent, RowsChanged, SessionLost
from brookreach.coordination.clock import now_ms
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.balancer_client import WATCHED_TABLES, BalancerClient
from brookreach.scale.hollow_protocol import BUCKET_MS


@dataclass(slots=True)
class Traffic:
    """What all marshals of a process sent and received, without the headers of TCP."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    sessions_lost: int = 0
    rows: Counter[str] = field(default_factory=Counter)  # by table
    buckets: Counter[int] = field(default_factory=Counter)  # bytes received, by time in BUCKET_MS


class CountedStream(anyio.abc.ByteStream):
    """A connection whose bytes are counted."""

    def __init__(self, stream: anyio.abc.ByteStream, traffic: Traffic):
        self._stream, self._traffic = stream, traffic

    async def receive(self, max_bytes: int = 65536) -> bytes:
        octets = await self._stream.receive(max_bytes)
        self._traffic.bytes_in += len(octets)
        self._traffic.buckets[int(now_ms()) // BUCKET_MS] += len(octets)
        return octets

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)
        self._traffic.bytes_out += len(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


class CountedDial(ClientConnection):
    """A client on sockets whose traffic is counted."""

    traffic: Traffic

    def wrap_stream(self, stream: anyio.abc.ByteStream) -> anyio.abc.ByteStream:
        """The stream with its bytes counted."""
        return CountedStream(stream, self.traffic)


def parts(name: str, zone: str, numbers: Mapping[str, int]) -> SimpleNamespace:
    """What an attendance needs of a marshal: its name, its zone, and the nodes that discovery has listed."""
    return SimpleNamespace(
        report=SimpleNamespace(name=name, log=lambda kind, text: None),
        configuration={"settings": {"zones": [zone]}},
        discovery=SimpleNamespace(node_numbers=numbers, version=1, on_node_list=None),
        driver=SimpleNamespace(
            settings=SimpleNamespace(place=SimpleNamespace(zone=0)),
            nodes=SimpleNamespace(endpoints={}),
            on_node_list=lambda listing, listed: None,
        ),
    )


class HollowMarshal(BalancerClient):
    """`moved(name, index)` is called whenever its copy of the agreed state has come to another place of the log."""

    def __init__(
        self,
        path: Path,
        name: str,
        zone: str,
        numbers: Mapping[str, int],
        seed: int,
        traffic: Traffic,
        moved: Callable[[str, int], None],
    ):
        self.seed, self.traffic, self.moved = seed, traffic, moved
        super().__init__(parts(name, zone, numbers), path, restarts=False)

    def connect(self) -> None:
        super().connect()
        tables = {table: APPLICATION.tables[table] for table in WATCHED_TABLES}
        chance = random.Random(f"{self.seed} {self.name}")
        self.client = Client(self.name, "marshal", tuple(self.addresses), self.timing, chance, tables)
        self.connection = self.make_connection(self.client)

    def make_connection(self, client: Client) -> ClientConnection:
        connection = CountedDial(client, self.group, self.key, self.addresses, self.on_event)
        connection.traffic = self.traffic
        return connection

    def on_event(self, event: ClientEvent) -> None:
        super().on_event(event)
        if isinstance(event, SessionLost):
            self.traffic.sessions_lost += 1
        elif isinstance(event, RowsChanged):
            self.traffic.messages_in += 1
            for put in event.updates:
                self.traffic.rows[put.table] += 1
            self.moved(self.name, event.index)

    def up_to_date(self, gone: str, index: int) -> bool:
        """It holds its lease with a keeper other than `gone`, and all that was agreed up to `index`."""
        client = self.client
        connected = client.connected and client.replica != gone
        return connected and client.cache.up_to_date and client.cache.index >= index and client.holds_lease(now_ms())
