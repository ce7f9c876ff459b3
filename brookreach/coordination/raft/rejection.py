"""Why a Raft node ignored a message or a request; the node counts them by reason."""

from __future__ import annotations

from enum import StrEnum


class Rejection(StrEnum):
    """A reason. The message or request it stands for had no effect."""

    # Any message
    UNINITIALIZED = "this replica is not initialized"
    FROM_SELF = "from this replica itself"
    NOT_A_REPLICA_MESSAGE = "not a message between replicas"
    IMPLAUSIBLE_TERM = "implausible term"
    NOT_A_MEMBER = "sender is not a member"
    STALE = "stale"

    # Elections
    IMPLAUSIBLE_LOG = "implausible last log entry"
    UNSOLICITED_VOTE = "vote that was not requested"
    NOT_THE_LEADER = "sender is not the leader"
    NOT_A_MEMBER_HERE = "this replica is not a member"

    # Messages of a leader
    SECOND_LEADER = "another leader in this term"
    CONFLICTS_WITH_COMMITTED = "conflicts with a committed entry"
    IMPLAUSIBLE_PREVIOUS_ENTRY = "implausible previous entry"
    GAP_IN_ENTRIES = "gap in the entries"
    DECREASING_TERMS = "entries of decreasing terms"
    ENTRY_TERM_AHEAD = "entry of a later term than the message"
    UNREADABLE_MEMBERSHIP = "unreadable membership entry"
    IMPLAUSIBLE_SNAPSHOT = "implausible snapshot"
    SNAPSHOT_TOO_LARGE = "snapshot too large"
    SNAPSHOT_CORRUPT = "corrupt snapshot"
    SNAPSHOT_MISMATCH = "snapshot of another index, term or membership"

    # Replies of a follower
    UNKNOWN_ROUND = "reply to a round never sent"
    ACKNOWLEDGES_UNSENT = "acknowledges more than was sent"
    LOST_ACKNOWLEDGED_ENTRIES = "lost entries it had acknowledged"
    UNKNOWN_TRANSFER = "no such snapshot transfer"
    OFFSET_OUT_OF_RANGE = "offset beyond the snapshot"

    # Requests of this replica's own
    INVALID_COMMAND = "invalid command"
    INVALID_MEMBERSHIP = "invalid membership"
    INVALID_COMPACTION = "invalid compaction index"
