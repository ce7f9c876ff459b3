"""Simulation of carbon-aware scheduling: a model of jobs and zones, invariant checkers, and drills by seed."""
