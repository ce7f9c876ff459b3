"""Simulation of planned disruptions: fleet models, invariants, injected defects, and runs between processes."""
