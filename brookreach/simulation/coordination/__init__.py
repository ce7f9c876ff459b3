"""Simulation of the coordination service: client scripts, invariants, injected defects."""
