"""What each role holds, hears, says and spends at a given size of the fleet, beside its budget.

It owns the file of sizes, slopes, budgets and figures (`deploy/capacity.toml`), the arithmetic on it and the tables
that docs/CAPACITY.md embeds. It must never measure while it computes, nor fill in a slope that has no source; a
marshal started by `run` imports none of it. `measure.py` stands apart: it makes some of the slopes.
"""
