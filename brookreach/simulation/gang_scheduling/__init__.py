"""Simulation of gang scheduling: cluster and node models, invariants, baselines, and runs between processes."""
