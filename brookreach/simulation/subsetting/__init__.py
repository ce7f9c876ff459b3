"""Simulation of subsetting: a model of a fleet, invariant checkers, a drill by seed, and placement at full size."""
