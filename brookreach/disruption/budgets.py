"""How many may be out at once, by scope, and how many are. Both kinds: nodes and marshals.

A target is in four scopes: all, its zone, its build, its service. A scope without a budget limits nothing,
but as long as a kind has none for "all", nothing of it may go out on plan. What is out unplanned has taken
its place before anything planned is looked at, because both stand in one count.
"""

from __future__ import annotations

from typing import Any, Literal

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption.commands import SetBudgets
from brookreach.disruption.internal_tables import COUNTS, CountRow, ordered
from brookreach.disruption.tables import BUDGETS, MARSHALS, NODES, BudgetRow, MarshalRow, NodeRow

Kind = Literal["node", "marshal"]
KINDS: tuple[Kind, ...] = ("node", "marshal")
NO_LIMIT = 1 << 40


def target(view: View, kind: Kind, name: str) -> NodeRow | MarshalRow | None:
    row: Any = view.get(NODES if kind == "node" else MARSHALS, name)
    return row


def scopes(zone: str, build: int | str, service: str) -> tuple[str, str, str, str]:
    return "all", f"zone:{zone}", f"build:{build}", f"service:{service}"


def scopes_of(row: NodeRow | MarshalRow) -> tuple[str, str, str, str]:
    return scopes(row.zone, row.build, row.service)


def count(view: View, kind: Kind, scope: str) -> CountRow:
    found: CountRow | None = view.get(COUNTS, f"{kind}/{scope}")
    return found or CountRow(0, 0)


def counted(draft: StagedChanges, kind: Kind, scope: str, total: int, out: int) -> None:
    old = count(draft, kind, scope)
    new = CountRow(old.total + total, old.out + out)
    draft.put(COUNTS, f"{kind}/{scope}", new if new.total else None)


def limit(view: View, kind: Kind, scope: str) -> BudgetRow | None:
    found: BudgetRow | None = view.get(BUDGETS, f"{kind}/{scope}")
    return found


def room(view: View, kind: Kind, scope: str) -> int:
    """How many more may be out there; under 0 where outages that nobody planned took more than there was."""
    budget = limit(view, kind, scope)
    if budget is None:
        return NO_LIMIT if scope != "all" else -1
    now = count(view, kind, scope)
    return min(budget.most_out - now.out, now.total - now.out - budget.least_ready)


def set_budgets(draft: StagedChanges, order: SetBudgets, context: Context) -> None:
    """The operators' file as a whole: what it doesn't name has no budget any more."""
    names = [f"{one.kind}/{one.scope}" for one in order.rows]
    rows = [BudgetRow(one.kind, one.most_out, one.least_ready) for one in order.rows]
    told = dict(zip(names, rows, strict=True))
    if len(told) < len(names):
        twice = sorted({name for name in names if names.count(name) > 1})
        raise CommandRejectedError(f"budgets stand twice: {', '.join(twice)}; one for each kind and scope is allowed")
    for key, _ in list(ordered(draft, BUDGETS)):
        if key not in told:
            draft.put(BUDGETS, key, None)
    for key, row in told.items():
        draft.put(BUDGETS, key, row)
