"""Simulation of carbon-aware scheduling: job models, invariants, bounds, and runs between processes."""
