"""What the log gives, worked out beside the keepers, and what each client asked and was told."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Application, View
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import ANSWERS, SESSIONS


def weight(key: str, octets: bytes) -> int:
    """One row's share in its table's digest; shares add up, so a change costs two of them."""
    return int.from_bytes(hashlib.blake2b(key.encode() + b"\0" + octets, digest_size=16).digest())


def digest(rows: Iterable[tuple[str, bytes]]) -> int:
    return sum(weight(key, octets) for key, octets in rows)


def view_digest(view: View, table: str) -> int:
    return digest((key, msgspec.msgpack.encode(row)) for key, row in view.rows(table))


@dataclass
class Asked:
    """One question of a client, in one of its sessions."""

    record: bytes
    at_ms: float
    answer: tuple[int, bool, str] | None = None


@dataclass
class Caller:
    """What one client said and heard."""

    session: int = 0
    asked: dict[tuple[int, int], Asked] = field(default_factory=dict)
    reads: dict[int, tuple[messages.ReadRequest, int]] = field(default_factory=dict)  # by seq: it, the least place
    parts: dict[int, list[messages.RowChange]] = field(default_factory=dict)
    read_at: int = 0  # the place of the last answer


class Reference:
    """The state by the log alone, and what it was at each place."""

    def __init__(self, pieces: Sequence[Application]):
        self.machine = StateMachine(pieces)
        self.tables = [table for piece in pieces for table in piece.tables]
        self.ground = (SESSIONS, ANSWERS)
        self.entries: dict[int, messages.Entry] = {}
        self.rows: dict[tuple[str, str], bytes] = {}
        self.sums: dict[str, int] = dict.fromkeys(self.tables, 0)
        self.at: dict[int, dict[str, int]] = {0: self.sums | dict.fromkeys(self.ground, 0)}
        self.last = 0

    def take(self, entry: messages.Entry) -> tuple[AppliedCommand, dict[tuple[str, str], bytes | None]]:
        applied, before = self.machine.apply(entry), dict[tuple[str, str], bytes | None]()
        for one in applied.changes:
            if one.table not in self.sums:
                continue
            old = before[one.table, one.key] = self.rows.pop((one.table, one.key), None)
            if old is not None:
                self.sums[one.table] -= weight(one.key, old)
            if one.octets is not None:
                self.rows[one.table, one.key] = one.octets
                self.sums[one.table] += weight(one.key, one.octets)
        self.entries[entry.index] = entry
        self.last = entry.index
        view = self.machine.view
        self.at[entry.index] = self.sums | {table: view_digest(view, table) for table in self.ground}
        return applied, before


"""A piece's own rule: true time, one record as it was applied, its rows as they were before."""
