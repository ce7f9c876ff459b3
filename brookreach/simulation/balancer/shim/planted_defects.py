"""Known defects, planted into the sources of a balancer's process, by the names of `simulation/balancer/defects.py`."""


def plant(name: str) -> None:
    """Plant one."""
    raise SystemExit(f"no defect {name!r}")
