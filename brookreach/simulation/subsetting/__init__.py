"""Simulation of subsetting: a fleet of balancers with changing views, invariants, and placement at full size."""
