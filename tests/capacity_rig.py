"""A small capacity file, the real one, and the command."""

import tempfile
from pathlib import Path

from click.testing import CliRunner, Result

from brookreach.capacity import model, read
from brookreach.cli.main import main
from brookreach.files import read_toml

ROOT = Path(__file__).resolve().parent.parent
FILE = ROOT / "deploy" / "capacity.toml"

SMALL = """
[size]
nodes = { value = 100, origin = "stated", grows = true, note = "n" }
zones = { value = 4, origin = "stated", note = "n" }
peak = { value = 3, origin = "assumed", note = "n" }

[slope]
row_bytes = { value = 50, unit = "bytes", kind = "measured", source = "s" }
idle_rate = { value = 7, unit = "bytes/s", kind = "measured", source = "s" }

[budget.rate]
terms = [[1_000]]
unit = "bytes/s"
origin = "stated"
note = "n"

[[group]]
role = "marshal control"
resource = "bytes/s in"
situation = "loss of a zone"
budget = "rate"
figures = [
  { what = "rows", terms = [["nodes", "/zones", "row_bytes"], [2, "row_bytes"]], mechanism = "brookreach.coordination.server.watches" },
  { what = "leases", terms = [["idle_rate"]], mechanism = "missing" },
]

[[group]]
role = "node agent"
resource = "latency"
situation = "ordinary"
figures = [{ what = "squares", terms = [["nodes", "nodes", "peak"]], mechanism = "missing" }]

[[state]]
role = "node agent"
rows = "rows"
count = [["nodes"]]
bytes_each = "row_bytes"
mechanism = "brookreach.disruption.tables"
"""


def small(changed: str = SMALL) -> model.Capacity:
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "c.toml"
        file.write_text(changed)
        return read.capacity(file, read_toml(file))


def command(*words: str) -> Result:
    return CliRunner().invoke(main, ["capacity", *words])
