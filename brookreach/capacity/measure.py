"""`python -m brookreach.capacity.measure`: slopes of the keepers and of the list, as a table in markdown.

Bytes are counted and the same at each run. Memory is what tracemalloc counts of Python objects. Processor times
are of this machine, without sockets and disks: a lower bound of what a keeper's process takes.
"""

from __future__ import annotations

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import click
import msgspec

from brookreach.applications import load_applications
from brookreach.capacity.measure_leader import BATCH, renewal_seconds
from brookreach.capacity.samples import FAR_INDEX, GROUP, LIST_ENTRY, MARSHAL, NODE, PERMIT, ROUTE, TENANT
from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.frames import seal_frame
from brookreach.coordination.server.change_feed import digest_markers
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import Row
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.tables import Tables, row_digest
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.tables import BALANCERS, NODES, PERMITS
from brookreach.interface import Tenant
from brookreach.model.keepers_crowd import KEY, WALL, fleet
from brookreach.net.discovery import DiscoveryClient
from brookreach.net.report import Report


def encoded_bytes(row: Row, key: str, table: str) -> int:
    """Of one row as it is told: its table, key and octets in a message."""
    change = messages.RowChange(table, key, msgspec.msgpack.encode(row))
    return len(msgspec.msgpack.encode(change))


def frame_bytes(row: Row, key: str, table: str) -> int:
    """Of a whole frame that tells one client this one row, with the stream's length before it."""
    return 4 + len(seal_frame(KEY, GROUP, "k1", "m-123", changes(row, key, table)))


def changes(row: Row, key: str, table: str) -> messages.WatchUpdate:
    change = messages.RowChange(table, key, msgspec.msgpack.encode(row))
    return messages.WatchUpdate(FAR_INDEX, FAR_INDEX + 1, (change,))


def grown_bytes(build: Callable[[int], object], size: int) -> float:
    """Memory of one unit more: `build` made of twice the size against once."""
    held = []
    for count in (size, 2 * size):
        tracemalloc.start()
        kept = build(count)
        held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (held[1] - held[0]) / size


def rows_of(table: str, row: Row) -> Callable[[int], Tables]:
    """Builds the table of a client's copy with so many rows alike."""

    def build(count: int) -> Tables:
        tables = Tables({table: APPLICATION.tables[table]})
        for number in range(count):
            tables.write([tables.decode(table, f"{table}-{number}", msgspec.msgpack.encode(row))])
        return tables

    return build


def machine_with_sessions(count: int) -> StateMachine:
    """The agreed state with so many agents' sessions."""
    machine = StateMachine(load_applications())
    for number in range(count):
        octets = sessions.encode_command(sessions.SessionStarted(f"s-{number}", "agent"), WALL)
        machine.apply(messages.Entry(number + 1, 1, octets))
    return machine


def seal_seconds(rounds: int) -> float:
    """Processor time of sealing one changed row for one client."""
    body = changes(NODE, "s-12345", NODES)
    began = time.process_time()
    for _ in range(rounds):
        seal_frame(KEY, GROUP, "k1", "m-123", body)
    return (time.process_time() - began) / rounds


def whole_seconds(rows: int, rounds: int) -> float:
    """Processor time of sealing one row of a whole table for one client."""
    octets = msgspec.msgpack.encode(NODE)
    part = messages.WatchSnapshot(
        1, 0, True, tuple(messages.RowChange(NODES, f"s-{number}", octets) for number in range(rows))
    )
    began = time.process_time()
    for _ in range(rounds):
        seal_frame(KEY, GROUP, "k1", "m-123", part)
    return (time.process_time() - began) / (rounds * rows)


def mirror_seconds(rows: int) -> float:
    """Processor time of a client for one row of a whole table that it is told, its reader's own work left out."""
    octets = msgspec.msgpack.encode(NODE)
    told = tuple(messages.RowChange(NODES, f"s-{number}", octets) for number in range(rows))
    mirror = TableCache({NODES: APPLICATION.tables[NODES]}, (NODES,))
    mirror.begin_watch()
    whole = messages.WatchSnapshot(1, 0, True, digest_markers((NODES,), sum(row_digest(one) for one in told)) + told)
    began = time.process_time()
    mirror.apply_snapshot(whole)
    spent = time.process_time() - began
    if mirror.count(NODES) != rows:
        raise RuntimeError(f"{mirror.count(NODES)} of {rows} rows were taken")
    return spent / rows


def discovery_of() -> DiscoveryClient:
    """A reader of lists whose lists go nowhere: only reading is measured."""
    limits: Any = SimpleNamespace(  # what a reader looks at
        list_retry_period_s=1.0, list_overload_delay_s=1.0, list_overload_max_delay_s=2.0
    )
    report = Report("measure", 1)
    return DiscoveryClient(limits, report, ["r1-a"], ["std"], random.Random(1), lambda told, listed: None)


def list_octets(nodes: int, complete: bool) -> bytes:
    members = [dict(LIST_ENTRY, id=f"s-{number}") for number in range(nodes)]
    return json.dumps({"revision": 5, "complete": complete, "members": members}).encode()


def read_seconds(nodes: int, rounds: int) -> tuple[float, float]:
    """Processor time of reading a whole list and one change of one node; the median of the rounds."""
    discovery = discovery_of()
    medians = []
    for octets in (list_octets(nodes, True), list_octets(1, False)):
        spent = []
        for _ in range(rounds):
            began = time.process_time()
            discovery.apply_listing(json.loads(octets))
            spent.append(time.process_time() - began)
        medians.append(statistics.median(spent))
    return medians[0], medians[1]


def tenants_of(count: int) -> list[Tenant]:
    return [Tenant(f"tenant-{number}", 1.0 / count, 12.5) for number in range(count)]


def measured(nodes: int, clients: int, rounds: int) -> list[tuple[str, float, str]]:
    """Each slope's name, value and unit."""
    whole, change = read_seconds(nodes, min(rounds, 9))
    list_bytes = len(json.dumps(LIST_ENTRY)) + len(", ")
    return [
        ("list_bytes_per_node", list_bytes, "bytes"),
        ("route_config_bytes", len(json.dumps(ROUTE)) + len(", "), "bytes"),
        ("tenant_config_bytes", len(json.dumps(TENANT)) + len(", "), "bytes"),
        ("tenant_memory", grown_bytes(tenants_of, nodes), "bytes"),
        ("list_read_seconds_per_node", whole / nodes, "seconds"),
        ("change_read_seconds_per_node", change / nodes, "seconds"),
        ("node_row_bytes", encoded_bytes(NODE, "s-12345", NODES), "bytes"),
        ("marshal_row_bytes", encoded_bytes(MARSHAL, "m-123", BALANCERS), "bytes"),
        ("permit_row_bytes", encoded_bytes(PERMIT, "drain-123456", PERMITS), "bytes"),
        ("node_frame_bytes", frame_bytes(NODE, "s-12345", NODES), "bytes"),
        ("permit_frame_bytes", frame_bytes(PERMIT, "drain-123456", PERMITS), "bytes"),
        ("keeper_memory_per_node", grown_bytes(fleet, nodes), "bytes"),
        (
            "keeper_memory_per_session",
            grown_bytes(machine_with_sessions, min(nodes, sessions.MAX_SESSIONS // 2)),
            "bytes",
        ),
        ("mirror_memory_per_node", grown_bytes(rows_of(NODES, NODE), nodes), "bytes"),
        ("mirror_memory_per_marshal", grown_bytes(rows_of(BALANCERS, MARSHAL), nodes), "bytes"),
        ("mirror_memory_per_permit", grown_bytes(rows_of(PERMITS, PERMIT), nodes), "bytes"),
        ("mirror_seconds_per_row", mirror_seconds(nodes), "seconds"),
        ("seal_seconds_per_change", seal_seconds(rounds * BATCH), "seconds"),
        ("whole_seconds_per_row", whole_seconds(messages.MAX_ROWS, rounds), "seconds"),
        ("leader_seconds_per_renewal", renewal_seconds(clients, rounds), "seconds"),
    ]


@click.command(help=__doc__)
@click.option("--nodes", type=click.IntRange(100, 12_000), default=4000, show_default=True)
@click.option("--clients", type=click.IntRange(BATCH, 4000), default=1000, show_default=True)
@click.option("--rounds", type=click.IntRange(1, 1000), default=40, show_default=True)
def main(nodes: int, clients: int, rounds: int) -> None:
    click.echo("| slope | value | unit |\n| --- | --- | --- |")
    for name, value, unit in measured(nodes, clients, rounds):
        click.echo(f"| {name} | {value:.3g} | {unit} |")


if __name__ == "__main__":
    main()
