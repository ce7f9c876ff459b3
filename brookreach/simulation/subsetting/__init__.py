"""Simulation of subsetting: a fleet model, an invariant checker, a seeded drill, and a full-size measurement."""
