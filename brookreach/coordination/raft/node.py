"""A Raft node, free of I/O: messages and time go in; what to save, to send and to apply comes out.

The caller keeps this order for each `Ready`: save it, call `on_saved`, send its messages, apply its entries. The node
never reads a clock, a disk or a socket, and no message makes it raise: one that makes no sense is counted in
`rejections` and has no effect.

Times are in ms of a clock that never goes back.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES, Body
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.dispatcher import MessageDispatcher
from brookreach.coordination.raft.election import Election
from brookreach.coordination.raft.follower import Follower
from brookreach.coordination.raft.node_state import NodeState, Role
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.replication import LeaderReplication
from brookreach.coordination.raft.types import Ready, Snapshot, StoredState
from brookreach.coordination.timing import Timing


class RaftNode:
    """One replica's part in the cluster; `replication` is the leader's part, while this node leads."""

    def __init__(
        self, name: str, stored: StoredState, configured_members: tuple[str, ...], timing: Timing, rng: random.Random
    ):
        """Start from what is stored. The members come from there alone; `configured_members` is only compared.

        Raises:
            StorageError: If the storage was bootstrapped, and never used, with other members than the configured ones.
        """
        _check_configured_members(name, stored, configured_members)
        self.state = NodeState(name, stored, timing, rng)
        self.election = Election(self.state)
        self.follower = Follower(self.state)
        self.replication: LeaderReplication | None = None
        self._dispatcher = MessageDispatcher(self.state, self.election, self.follower)
        self._last_ticket = 0

    # --- Status ---

    @property
    def is_leader(self) -> bool:
        """Whether this node leads as far as it knows."""
        return self.state.role == Role.LEADER

    @property
    def leader(self) -> str:
        """The leader's name, or "" if none is known."""
        return self.state.leader

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def members(self) -> tuple[str, ...]:
        """The members in effect."""
        return self.state.members

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self.state.commit_index

    @property
    def is_uninitialized(self) -> bool:
        """Whether the storage is empty: neither bootstrapped nor joined. Such a node takes part in nothing."""
        return self.state.is_uninitialized

    @property
    def rejections(self) -> Counter[Rejection]:
        """How many messages and requests were ignored, by reason."""
        return self.state.rejections

    @property
    def wall_ms(self) -> int:
        """This replica's own wall clock, as the caller last set it; it goes with votes."""
        return self.state.wall_ms

    @wall_ms.setter
    def wall_ms(self, value: int) -> None:
        self.state.wall_ms = value

    @property
    def low_median_wall_ms(self) -> int:
        """Low median of the clocks that came with the votes by which this node became leader, its own included."""
        return self.election.low_median_wall_ms

    # --- Events ---

    def handle_message(self, now: float, source: str, message: Body) -> None:
        """Take a message from `source`."""
        self.state.advance_clock(now)
        self._dispatcher.dispatch(source, message, self.replication)
        self._update_replication()

    def tick(self, now: float) -> None:
        """Do what is due at this time."""
        state = self.state
        state.advance_clock(now)
        if self.replication is not None:
            self.replication.tick()
        elif not state.is_uninitialized and state.election_due is not None and state.now >= state.election_due:
            self.election.on_election_timeout()
        self._update_replication()

    def _update_replication(self) -> None:
        """Begin or end the leader's part with the role."""
        if not self.is_leader:
            self.replication = None
        elif self.replication is None:
            self.replication = LeaderReplication(self.state)

    def next_wakeup_ms(self) -> float:
        """Return when to call `tick` next; a time that is past means at once."""
        state = self.state
        if state.election_due is None:
            return 0.0
        if self._has_output():
            return state.now
        if self.replication is not None:
            return self.replication.heartbeat_due
        return math.inf if state.is_uninitialized else state.election_due

    def _has_output(self) -> bool:
        if self.state.save_in_progress:
            return False
        if self.replication is not None and self.replication.reads.has_confirmed:
            return True
        return self.state.has_output()

    # --- Requests ---

    def propose(self, now: float, data: bytes) -> int | None:
        """Append an entry to the log.

        Returns:
            Its index, if it is ever committed. None: this node can't take it now, or the data is not allowed.
        """
        state = self.state
        state.advance_clock(now)
        if self.replication is None or self.replication.transfer is not None:
            return None
        if state.log.last_index - state.commit_index >= state.timing.max_pending_proposals:
            return None
        if not 1 <= len(data) <= MAX_COMMAND_BYTES or data.startswith(membership.ENTRY_PREFIX):
            state.reject(Rejection.INVALID_COMMAND)
            return None
        return self.replication.append(data)

    def request_read(self, now: float) -> int:
        """Request a linearizable read.

        Returns:
            A ticket that `Ready.reads` names once this node is known to have led after `now`, unless it stops leading
            before. 0: it does not lead, or too many reads wait.
        """
        state = self.state
        state.advance_clock(now)
        if self.replication is None or len(self.replication.reads) >= state.timing.max_pending_proposals:
            return 0
        self._last_ticket += 1
        self.replication.request_read(self._last_ticket)
        return self._last_ticket

    def change_members(self, now: float, members: tuple[str, ...], at_ms: int = 0) -> int | None:
        """Add or remove one member.

        Returns:
            The index of the entry that does it. None: this node does not lead, an earlier change is not committed yet,
            or these are not the members but for one.
        """
        state = self.state
        state.advance_clock(now)
        if self.replication is None or not self.replication.may_change_members():
            return None
        if not membership.is_valid_membership(members) or not membership.differs_by_one_member(members, state.members):
            state.reject(Rejection.INVALID_MEMBERSHIP)
            return None
        index = self.replication.append(membership.encode_members(members, at_ms))
        self.replication.track_members(index)
        return index

    def transfer_leadership(self, now: float) -> bool:
        """Ask the best follower to take over; proposals are rejected meanwhile, for an election timeout at most."""
        self.state.advance_clock(now)
        if self.replication is None:
            return False
        return self.replication.transfer is not None or self.replication.begin_transfer()

    def compact_log(self, index: int, data: bytes) -> None:
        """Take the state machine's snapshot `data` of all entries up to `index`, and drop the log before it."""
        state = self.state
        term = state.log.term_at(index)
        if term is None or not state.snapshot.index < index <= state.applied_index:
            state.reject(Rejection.INVALID_COMPACTION)
            return
        state.compact(Snapshot(index, term, state.membership.at(index), data))
        if self.replication is not None:
            self.replication.on_compaction()

    # --- Output ---

    def ready(self) -> Ready:
        """Return what has to be done; nothing while an earlier save is not confirmed by `on_saved`."""
        ready = Ready()
        if self.state.save_in_progress:
            return ready
        if self.replication is not None:
            self.replication.flush()
            self._update_replication()
        if self.replication is not None:
            ready.reads = self.replication.reads.take_confirmed()
        self.state.fill(ready)
        return ready

    def on_saved(self, now: float) -> None:
        """Take note that the last `Ready.save` is durable. More may be committed by it, so ask `ready` again."""
        state = self.state
        state.advance_clock(now)
        if not state.save_in_progress:
            return
        state.save_in_progress = False
        state.log.confirm_saved()
        if self.replication is not None:
            self.replication.advance_commit_index()
            self._update_replication()


def _check_configured_members(name: str, stored: StoredState, configured: tuple[str, ...]) -> None:
    members = stored.snapshot.members
    is_unused = stored.term == 0 and stored.snapshot.index == 0
    if configured and name in members and is_unused and set(configured) != set(members):
        raise StorageError(
            f"bootstrapped with the members {', '.join(sorted(members))}; "
            f"the configuration names {', '.join(sorted(configured))}"
        )
