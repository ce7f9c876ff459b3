"""The replicated state machine: tables of rows, sessions, the applications' decisions, snapshots.

The same log gives the same state on every replica: no clock, no chance, no I/O. It must never ask who leads.
"""
