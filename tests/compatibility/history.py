"""A group's history for the generator: records one after the other, orders given by their tags and fields.

Rows are read by position, as they are stored. Only `generate` uses this module; what it writes is kept as data.
"""

from __future__ import annotations

from typing import Any

import msgspec

from . import text_under_test as text

START_MS = 1_800_000_000_000  # the beginning of a slot of the power schedule
SECOND, MINUTE = 1000, 60_000
STATE, EPOCH_ASKED = 9, 14  # positions in the row of a gang
NODE, LIFE, FENCE, MEMBER_STATE, OLD_NODE, OLD_FENCE = 0, 1, 2, 3, 5, 6  # and of its members


class History:
    """Entries of a log, and the state that they give."""

    def __init__(self) -> None:
        self.machine = text.StateMachine(text.installed())
        self.entries: list[text.Entry] = []
        self.snapshots: dict[int, bytes] = {}  # by the index of the last entry in them
        self.now = START_MS
        self._questions: dict[int, int] = {}  # the last one's number, by session

    # --- records ---

    def _append(self, octets: bytes) -> Any:
        entry = text.Entry(len(self.entries) + 1, 1, octets)
        applied = self.machine.apply(entry)
        self.entries.append(entry)
        return applied

    def group_record(self, order: dict[str, Any]) -> None:
        """A record that the group itself proposes: a session's begin or end, or the passing of time."""
        stamp = text.Stamp(
            text.SESSION_APPLICATION, text.SESSION_VERSION, self.now, "", "", 0, 0, text.order_octets(order)
        )
        assert self._append(msgspec.msgpack.encode(stamp)).ok

    def join(self, client: str, kind: str) -> None:
        self.group_record({"type": "Began", "client": client, "kind": kind})

    def leave(self, client: str) -> None:
        self.group_record({"type": "Ended", "session": self.machine.session(client), "why": "left"})

    def ask(self, client: str, application: str, tag: str, **fields: Any) -> int:
        """One order of a client's session, which must be taken; its index."""
        self.now += 10
        session = self.machine.session(client)
        number = self._questions[session] = self._questions.get(session, 0) + 1
        body = text.order_octets({"type": tag, **fields})
        assert self.machine.check_proposal(application, 1, body) is None, (tag, fields)
        kind = self.row("sessions", client)[1]
        question = text.Question(session, number, application, 1, body)
        applied = self._append(text.stamp_question(question, self.now, client, kind))
        assert applied.ok, (tag, fields, applied.text)
        self.settle()
        return applied.index

    def settle(self) -> None:
        """Records of the passing of time, while one is due."""
        while (due := self.machine.next_timer_ms()) is not None and due <= self.now:
            self.group_record({"type": "Passed"})

    def wait(self, milliseconds: int) -> None:
        """Through every moment at which time alone changes something."""
        end = self.now + milliseconds
        while (due := self.machine.next_timer_ms()) is not None and due <= end:
            self.now = max(self.now, due)
            self.settle()
        self.now = end

    def keep_snapshot(self) -> None:
        self.snapshots[len(self.entries)] = self.machine.snapshot()

    # --- the state ---

    def row(self, table: str, key: str) -> Any:
        return text.rows(self.machine)[table][key]

    def agents_act(self, gang: str) -> bool:
        """Each member's agent does what the gang waits for; whether there was anything to do."""
        acted = False
        members = text.rows(self.machine)["members"]
        for key in [key for key in members if key.startswith(gang + "/")]:
            acted = self._agent_acts(gang, int(key.split("/")[1]), key) or acted
        return acted

    def _agent_acts(self, gang: str, number: int, key: str) -> bool:
        member, state = self.row("members", key), self.row("gangs", gang)
        about = {"gang": gang, "member": number}
        if member[MEMBER_STATE] == "fencing":
            self.ask(member[OLD_NODE], "gangs", "Stopped", **about, fence=member[OLD_FENCE])
            return True
        if member[MEMBER_STATE] == "starting":
            self.ask(member[NODE], "gangs", "Started", **about, fence=member[FENCE])
            return True
        if state[STATE] == "checkpointing" and member[4] < state[EPOCH_ASKED]:
            life, fence = member[LIFE], member[FENCE]
            confirmed = {"epoch": state[EPOCH_ASKED], "node": member[NODE], "life": life, "fence": fence}
            self.ask(member[NODE], "gangs", "Confirmed", **about, **confirmed, work_ms=5 * MINUTE)
            return True
        return False
