"""The figure of docs/measured: an RPC's cost and a marshal's memory by the nodes that it is told of."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib
import msgspec

matplotlib.use("Agg")
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from brookreach.files import InvalidFileError  # noqa: E402
from brookreach.scale.marshal_decisions import SizedCosts  # noqa: E402
from brookreach.scale.marshal_run import Report  # noqa: E402

BUDGET_US, BUDGET_MB = 1600.0, 32.0  # that an RPC may take longer for 99 in 100; that control may hold


def read(path: Path) -> Report:
    """What `brookreach scale marshal --json` printed. Raises InvalidFileError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except OSError as error:
        raise InvalidFileError([f"{path}: {error.strerror}"]) from None
    except msgspec.DecodeError as error:
        raise InvalidFileError([f"{path} is not what `brookreach scale marshal --json` prints: {error}"]) from None


def draw(report: Report) -> Figure:
    figure = Figure(figsize=(11.0, 4.0), layout="constrained")
    left, middle, right = figure.subplots(1, 3)
    methods = min(row.size.methods for row in report.timed)
    tenants = min(row.size.tenants for row in report.timed)
    rows = [row for row in report.timed if (row.size.methods, row.size.tenants) == (methods, tenants)]
    _rpcs(left, rows, 50)
    _rpcs(middle, rows, 99)
    alone = [one for one in report.processes if (one.size.methods, one.size.tenants) == (methods, tenants)]
    right.plot([one.size.nodes for one in alone], [one.idle_mb for one in alone], marker=".", label="idle")
    right.plot([one.size.nodes for one in alone], [one.peak_mb for one in alone], marker=".", label="at most")
    right.axhline(BUDGET_MB, color="grey", linestyle=":", label="budget of control")
    right.set(xlabel="nodes", ylabel="resident MB", ylim=(0.0, None))
    right.locator_params(axis="x", nbins=4)
    right.legend()
    return figure


def _rpcs(axes: Axes, rows: Sequence[SizedCosts], of_100: int) -> None:
    nodes = [row.size.nodes for row in rows]
    for place, cost in enumerate(rows[0].costs):
        spreads = [row.costs[place].rpc for row in rows]
        values = [spread.p50 if of_100 == 50 else spread.p99 for spread in spreads]
        axes.loglog(nodes, values, marker=".", label=cost.situation)
    axes.axhline(BUDGET_US, color="grey", linestyle=":", label="budget, all in all")
    axes.set(xlabel="nodes", ylabel=f"processor us of an RPC, {of_100} of 100")
    axes.legend()
