"""What many processes agree on: keepers, log, snapshots, sessions, leases, watches.

It owns the agreed state's order, its lasting, and who may act until when. It must never know what a piece's
records mean (`brookreach.disruption`, `gangs` and `power` rest on it, not the other way), never stand in an
RPC's way, and never be imported by a marshal that the platform's `run` starts.
"""
