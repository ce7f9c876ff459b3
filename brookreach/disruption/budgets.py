"""Disruption budgets: how many targets may be unavailable at once by scope, and how many are.

A target is in four scopes: all, its zone, its build, its service. A scope without a budget limits nothing,
but as long as a kind has none for "all", none of it may be disrupted on plan. What is unavailable unplanned has taken
its place before anything planned is looked at, because both stand in one count.
"""

from __future__ import annotations

from collections import Counter

from brookreach.coordination.state_machine.application import CommandRejectedError, StagedChanges, View
from brookreach.disruption.commands import SetBudgets
from brookreach.disruption.errors import UnknownTargetError
from brookreach.disruption.internal_tables import COUNTS, CountRow, iterate_rows
from brookreach.disruption.states import TargetKind
from brookreach.disruption.tables import BALANCERS, BUDGETS, NODES, BalancerRow, BudgetRow, NodeRow

ALL_SCOPE = "all"
NO_LIMIT = 1 << 40
GRANT_ORDER = (TargetKind.NODE, TargetKind.BALANCER)  # of kinds, in which permits are granted


def find_target(view: View, kind: TargetKind, name: str) -> NodeRow | BalancerRow | None:
    """The row of a node or balancer; None where it is not known."""
    row: NodeRow | BalancerRow | None = view.get(table_of(kind), name)
    return row


def get_target(view: View, kind: TargetKind, name: str) -> NodeRow | BalancerRow:
    """The row of a target that a permit or queue entry names.

    Raises:
        UnknownTargetError: it has none.
    """
    row = find_target(view, kind, name)
    if row is None:
        raise UnknownTargetError(kind, name)
    return row


def table_of(kind: TargetKind) -> str:
    """The table of the targets of this kind."""
    return NODES if kind == TargetKind.NODE else BALANCERS


def scopes(zone: str, build: int | str, service: str) -> tuple[str, str, str, str]:
    """The scopes of a target; the widest is first."""
    return ALL_SCOPE, f"zone:{zone}", f"build:{build}", f"service:{service}"


def scopes_of(row: NodeRow | BalancerRow) -> tuple[str, str, str, str]:
    """The scopes of the target with this row."""
    return scopes(row.zone, row.build, row.service)


def outage_count(view: View, kind: TargetKind, scope: str) -> CountRow:
    """The count of the scope; zeros where nothing is in it."""
    row: CountRow | None = view.get(COUNTS, f"{kind}/{scope}")
    return row or CountRow(0, 0)


def adjust_count(draft: StagedChanges, kind: TargetKind, scope: str, total: int, unavailable: int) -> None:
    """Adds these, which may be negative, to the scope's count; a count of nothing has no row."""
    existing = outage_count(draft, kind, scope)
    new = CountRow(existing.total + total, existing.unavailable + unavailable)
    draft.put(COUNTS, f"{kind}/{scope}", new if new.total else None)


def find_budget(view: View, kind: TargetKind, scope: str) -> BudgetRow | None:
    """The budget of the scope; None where it has none."""
    row: BudgetRow | None = view.get(BUDGETS, f"{kind}/{scope}")
    return row


def allowed_disruptions(view: View, kind: TargetKind, scope: str) -> int:
    """How many more may be unavailable; under 0 where unplanned outages took more than the budget has."""
    budget = find_budget(view, kind, scope)
    if budget is None:
        return NO_LIMIT if scope != ALL_SCOPE else -1
    count = outage_count(view, kind, scope)
    ready = count.total - count.unavailable
    return min(budget.max_unavailable - count.unavailable, ready - budget.min_ready)


def set_budgets(draft: StagedChanges, command: SetBudgets) -> None:
    """Replaces all budgets: what the command doesn't name has none any more.

    Raises:
        CommandRejectedError: a kind and scope has two budgets.
    """
    keys = Counter(f"{entry.kind}/{entry.scope}" for entry in command.rows)
    repeated = sorted(key for key, times in keys.items() if times > 1)
    if repeated:
        raise CommandRejectedError(
            f"budgets stand twice: {', '.join(repeated)}; one for each kind and scope is allowed"
        )
    for key, _ in list(iterate_rows(draft, BUDGETS)):
        if key not in keys:
            draft.put(BUDGETS, key, None)
    for entry in command.rows:
        row = BudgetRow(entry.kind, entry.max_unavailable, entry.min_ready)
        draft.put(BUDGETS, f"{entry.kind}/{entry.scope}", row)
