"""The piece as the ground takes it: each order to the room that knows it, and back what has changed by it.

It owns no rule. Halts touch both permits and releases, so they meet here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from brookreach.coordination.state_machine.application import (
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    StagedChanges,
    View,
)
from brookreach.disruption import budgets, deadlines, halt, internal_tables, liveness, permits, releases
from brookreach.disruption import commands as orders
from brookreach.disruption import tables as rows
from brookreach.disruption.targets import OVER


def changes(draft: StagedChanges) -> list[RowUpdate]:
    """Without what was taken out and put back as it was."""
    return [put for put in draft.updates() if draft.base.get(put.table, put.key) != put.row]


class Outages:
    name = "outages"
    version = 1
    commands: Any = orders.Orders
    tables: Mapping[str, type[Row]] = {
        rows.NODES: rows.NodeRow,
        rows.MARSHALS: rows.MarshalRow,
        rows.PERMITS: rows.PermitRow,
        rows.HALT: rows.HaltRow,
        rows.RELEASES: rows.ReleaseRow,
        rows.BUDGETS: rows.BudgetRow,
        rows.ASSIGNED: rows.AssignRow,
        internal_tables.COUNTS: internal_tables.CountRow,
        internal_tables.OPEN: internal_tables.OpenRow,
        internal_tables.WAITS: internal_tables.WaitRow,
        internal_tables.LINES: internal_tables.LineRow,
        internal_tables.HELD: internal_tables.HeldRow,
        internal_tables.DRAWS: internal_tables.DrawRow,
        internal_tables.DUE: internal_tables.DueRow,
        internal_tables.PROGRESS: internal_tables.ProgressRow,
        internal_tables.VOTES: internal_tables.VoteRow,
    }

    def apply(self, view: View, order: Any, context: Context) -> list[RowUpdate]:
        orders.may(order, context)
        draft = StagedChanges(view)
        match order:
            case orders.NodeSeen():
                liveness.node(draft, order, context)
            case orders.MarshalSeen():
                liveness.marshal(draft, order, context)
            case orders.AskDrain():
                permits.ask(draft, context, order.name, "drain", order.node, order.urgency, order.reason)
            case orders.AskRestart():
                permits.ask(draft, context, order.name, "restart", order.marshal, order.urgency, order.reason)
            case orders.TakeBack():
                self._take_back(draft, order, context)
            case orders.Voted():
                releases.voted(draft, order, context)
            case orders.BeginRelease():
                releases.begin(draft, order, context)
            case orders.SendBack():
                releases.send_back(draft, order, context)
            case orders.Halt():
                halt.halt(draft, context, context.client, order.reason, order.way_back)
                releases.hold(draft)
            case orders.Resume():
                halt.lift(draft, order.fence)
                releases.go_on(draft, context)
                permits.serve(draft, context)
            case orders.SetBudgets():
                budgets.set_budgets(draft, order, context)
                permits.serve(draft, context)
            case orders.Gone():
                liveness.gone(draft, order, context)
            case orders.RetirementNotice() | orders.RetirementWithdrawn():
                liveness.notice(draft, order, context)
        return changes(draft)

    def _take_back(self, draft: StagedChanges, order: orders.TakeBack, context: Context) -> None:
        permit = draft.get(rows.PERMITS, order.name)
        if permit is not None and permit.what == "move":
            raise CommandRejectedError(f"{order.name} is a gang's move: its gang takes it back")
        if permit is not None and context.client_kind == "marshal" and permit.target != context.client:
            raise CommandRejectedError(
                f"{order.name} is of {permit.target}: {context.client} may take back its own only"
            )
        permits.take_back(draft, context, order.name, order.reason)

    def next_timer_ms(self, view: View) -> int | None:
        return deadlines.next_ms(view)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        for one in deadlines.taken(draft, context.now_ms):
            match one.what:
                case deadlines.LATE:
                    permits.late(draft, context, one.name)
                case deadlines.FORGET:
                    permit = draft.get(rows.PERMITS, one.name)
                    if permit is not None and permit.state in OVER:
                        draft.put(rows.PERMITS, one.name, None)
                case deadlines.NODE:
                    liveness.forget(draft, context, one.name)
                case deadlines.VOTES:
                    releases.forget(draft, context, int(one.name))
                case deadlines.STAGE:
                    releases.check(draft, context, int(one.name))
                case deadlines.DRAW:
                    releases.more(draft, context, int(one.name))
        permits.serve(draft, context)
        return changes(draft)

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        liveness.session_ended(draft, context)
        return changes(draft)


APPLICATION = Outages()
