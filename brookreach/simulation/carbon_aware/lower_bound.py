"""The least grams that any plan of a scenario's jobs can cost, by a linear programme (HiGHS, by scipy).

The programme knows all jobs and the capacity of every slot beforehand, may run any share of a job in any slot and
zone, and moves for nothing: no way that keeps the deadlines and the capacity costs less.
"""

from __future__ import annotations

import importlib
from dataclasses import dataclass, field
from typing import Any

from brookreach.carbon_aware.planning_problem import ceil_divide
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.simulation.carbon_aware.scenario import Job, Scenario


@dataclass(frozen=True)
class _Variable:
    """The share of a slot that a job runs in a zone, up to `limit`."""

    job_index: int
    job: Job
    zone: str
    slot: int
    limit: float


@dataclass
class _UpperBounds:
    """Rows of a sparse matrix: each a weighted sum of variables and what it may be at most."""

    rows: list[int] = field(default_factory=list)
    columns: list[int] = field(default_factory=list)
    weights: list[float] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)

    def add(self, columns: list[int], weights: list[float], limit: float) -> None:
        self.rows += [len(self.limits)] * len(columns)
        self.columns += columns
        self.weights += weights
        self.limits.append(limit)


def least_grams(scenario: Scenario) -> int | None:
    """Returns grams a kWh times ms times capacity; None: no plan keeps all deadlines."""
    optimize: Any = importlib.import_module("scipy.optimize")  # Any: an optional dependency without types
    sparse: Any = importlib.import_module("scipy.sparse")
    variables = _variables(scenario)
    bounds = _upper_bounds(scenario, variables)
    job_indices = [variable.job_index for variable in variables]
    work = [job.work_ms / SLOT_MS for job in scenario.jobs]
    solution = optimize.linprog(
        [_slot_cost(scenario, variable) for variable in variables],
        A_ub=sparse.csr_matrix((bounds.weights, (bounds.rows, bounds.columns)), (len(bounds.limits), len(variables))),
        b_ub=bounds.limits,
        A_eq=sparse.csr_matrix(
            ([1.0] * len(variables), (job_indices, range(len(variables)))), (len(work), len(variables))
        ),
        b_eq=work,
        bounds=[(0.0, variable.limit) for variable in variables],
        method="highs",
    )
    return round(solution.fun * SLOT_MS) if solution.status == 0 else None


def _variables(scenario: Scenario) -> list[_Variable]:
    variables: list[_Variable] = []
    for job_index, job in enumerate(scenario.jobs):
        for slot in range(job.arrival_ms // SLOT_MS, ceil_divide(job.deadline_ms, SLOT_MS)):
            start_ms = max(job.arrival_ms, slot * SLOT_MS)
            end_ms = min(job.deadline_ms, (slot + 1) * SLOT_MS)
            limit = (end_ms - start_ms) / SLOT_MS
            variables += [_Variable(job_index, job, zone, slot, limit) for zone in job.zones or scenario.grams]
    return variables


def _slot_cost(scenario: Scenario, variable: _Variable) -> float:
    cost = scenario.true_cost(variable.zone, variable.slot * SLOT_MS, (variable.slot + 1) * SLOT_MS)
    return variable.job.capacity * cost / SLOT_MS


def _upper_bounds(scenario: Scenario, variables: list[_Variable]) -> _UpperBounds:
    """The capacity of each zone and slot, and that a job runs in one place at a time."""
    by_place: dict[tuple[str, int], list[int]] = {}
    by_job: dict[tuple[int, int], list[int]] = {}
    for column, variable in enumerate(variables):
        by_place.setdefault((variable.zone, variable.slot), []).append(column)
        by_job.setdefault((variable.job_index, variable.slot), []).append(column)
    bounds = _UpperBounds()
    for (zone, slot), columns in by_place.items():
        capacities = [float(variables[column].job.capacity) for column in columns]
        bounds.add(columns, capacities, scenario.free_capacity(slot)[zone])
    for columns in by_job.values():
        bounds.add(columns, [1.0] * len(columns), variables[columns[0]].limit)
    return bounds
