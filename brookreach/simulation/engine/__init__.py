"""Deterministic simulation: one seeded virtual clock, a network, disks and processes with faults.

It owns time and chance of a run. It must never know what a replicated application means.
"""
