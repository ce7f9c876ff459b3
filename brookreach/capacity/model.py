"""The types of a capacity file: sizes, slopes, budgets, figures and states.

Every value is checked on its own, so that an error can name its key. Formulas are sums of products of named values,
never text that is evaluated.
"""

from __future__ import annotations

from typing import Annotated, Literal, get_args

import msgspec

Role = Literal[
    "marshal data path",
    "marshal control",
    "client front",
    "node agent",
    "keeper and leader",
    "list distribution",
    "configuration distribution",
    "release platform",
]
Resource = Literal[
    "memory",
    "bytes/s in",
    "bytes/s out",
    "messages/s in",
    "messages/s out",
    "outcomes/s",
    "processor share",
    "latency",
    "disk",
    "connections",
    "rows",
]
Situation = Literal[
    "ordinary",
    "start of all",
    "loss of the leader",
    "loss of a rack",
    "loss of a zone",
    "regions apart for an hour",
]
Origin = Literal["stated", "code", "assumed"]
Evidence = Literal["measured", "derived", "guessed"]
Unit = Literal["count", "1/s", "bytes", "bytes/s", "seconds", "share"]

SITUATIONS: tuple[str, ...] = get_args(Situation)
ROLES: tuple[str, ...] = get_args(Role)
UNITS: dict[str, Unit] = {
    "memory": "bytes",
    "bytes/s in": "bytes/s",
    "bytes/s out": "bytes/s",
    "messages/s in": "1/s",
    "messages/s out": "1/s",
    "outcomes/s": "1/s",
    "processor share": "share",
    "latency": "seconds",
    "disk": "bytes",
    "connections": "count",
    "rows": "count",
}
NOT_SUMMED: frozenset[str] = frozenset({"latency", "rows"})  # the worst of them counts, not their sum
MISSING = "missing"  # the mechanism that the code does not have

Number = Annotated[float, msgspec.Meta(ge=0.0, lt=1e18, description="a number from 0 to 1e18")]
Text = Annotated[
    str, msgspec.Meta(pattern=r"^[^|\n]{1,300}\Z", description="a text of 1 to 300 characters on one line, without |")
]
Remark = Annotated[
    str, msgspec.Meta(pattern=r"^[^|\n]{0,300}\Z", description="a text of up to 300 characters on one line, without |")
]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_]{0,59}\Z", description="a name of a-z, 0-9 and _")]
Mechanism = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^(missing|brookreach(\.[a-z_][a-z0-9_]*)*)\Z",
        description="a module's path, as brookreach.net.discovery, or missing",
    ),
]


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How large the fleet is, how much happens a day, or a constant of the code that a figure needs."""

    value: Number
    origin: Origin
    note: Text
    grows: bool = False  # doubles when the fleet doubles


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one unit of something costs."""

    value: Number
    unit: Unit
    kind: Evidence
    source: Text  # a page under docs/, a command with its seeds, or the reason of a guess


class Term(msgspec.Struct, frozen=True):
    """A product: a coefficient times named sizes and slopes, each to a power.

    A file writes it as a list of its factors: `[3, "nodes", "nodes", "/lease_s"]`; a name with a slash divides.
    """

    powers: dict[str, int] = msgspec.field(default_factory=dict)
    coefficient: float = 1.0


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the users, or an assumption, allow."""

    terms: tuple[Term, ...]
    unit: Unit
    origin: Origin
    note: Text


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One use of a resource by one process of a role (by all together where `what` says so)."""

    what: Text
    terms: tuple[Term, ...]
    mechanism: Mechanism
    lacks: Remark = ""  # the mechanism that would hold it within its budget, where the code has none


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of one role, resource and situation, held against one budget."""

    role: Role
    resource: Resource
    situation: Situation
    figures: tuple[Figure, ...]
    budget: str = ""  # the name of one; empty: none given


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rows that a process of a role holds."""

    role: Role
    rows: Text
    count: tuple[Term, ...]
    bytes_each: str  # the name of a slope in bytes
    mechanism: Mechanism


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole file, its names resolved: each name in a formula is a size or a slope."""

    size: dict[str, Size]
    slope: dict[str, Slope]
    budget: dict[str, Budget]
    group: tuple[Group, ...]
    state: tuple[State, ...]
