"""The replicated state machine: applies the log's commands to tables of rows, with the same result on every replica.

Modules: `application` (the interface that applications implement), `registry` and `executor` (the applications of a
replica, and calls to them), `tables`, `sessions`, `machine` (all of these put together), `snapshots`, and
`session_leases` (the leader's own record, not part of the state).

Nothing here does I/O, reads a clock, draws random numbers or knows who leads.
"""
