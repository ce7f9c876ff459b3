"""Deterministic simulation of replicas and clients: one seeded virtual clock, a network, disks and faults.

It owns the time and the randomness of a run. It knows nothing of what a replicated application means, and imports no
checker: what happens is reported to a `RunObserver`.
"""
