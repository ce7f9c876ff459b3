"""Timing and flow-control parameters shared by the replicas and clients of a cluster."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Parameters of a cluster; all replicas and clients of it must use the same ones.

    A client's session lease ends by the client's own clock `lease_ms` x (1 - `drift`) after it *sent* the request
    that renewed it. The leader ends the session no sooner than `lease_ms` x (1 + `drift`) after it answered.

    Attributes:
        heartbeat_ms: Interval between two heartbeats of a leader.
        election_timeout_ms: Shortest election timeout. Each timeout is drawn from this value to twice this value.
        lease_ms: Length of a client session's lease.
        drift: Bound on how much faster one process's clock may run than another's, as a fraction.
        max_pending_proposals: Proposals that may wait to be committed; beyond it clients are asked to retry later.
        snapshot_interval_entries: Entries applied after a snapshot before the next one is taken.
    """

    heartbeat_ms: float = 50.0
    election_timeout_ms: float = 300.0
    lease_ms: float = 3000.0
    drift: float = 0.01
    max_pending_proposals: int = 4096
    snapshot_interval_entries: int = 10_000
