"""Messages among replicas: elections, replication of the log, transfer of snapshots.

They follow Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014), with pre-votes and leadership transfer.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brookreach.coordination.protocol.fields import MAX_ENTRIES, Count, Message, Record, SnapshotChunk


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One entry of the log; `octets` is an encoded `LogRecord`, or empty in the entry that begins a leader's term."""

    index: Count
    term: Count
    octets: Record


class RequestVote(Message, tag="AskVote"):
    """A candidate asks for a vote.

    Attributes:
        pre_vote: The question comes before the candidate raises its term (Ongaro's thesis, 9.6).
        leadership_transfer: The leader itself asked for this election, so its lease on votes does not count.
    """

    term: Count
    last_index: Count
    last_term: Count
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteReply(Message, tag="Vote"):
    """The answer to `RequestVote`.

    Attributes:
        wall_ms: The voter's clock, ms since 1970: a new leader's agreed time begins at the low median of these.
    """

    term: Count
    pre_vote: bool
    vote_granted: bool
    wall_ms: Count


class AppendEntries(Message, tag="Append"):
    """The leader's entries after `prev_index`, or a heartbeat without any.

    Attributes:
        round: Counts the leader's rounds of heartbeats: a reply to one shows that it led when that one was sent.
    """

    term: Count
    prev_index: Count
    prev_term: Count
    commit_index: Count
    round: Count
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class AppendEntriesReply(Message, tag="Appended"):
    """The answer to `AppendEntries`.

    Attributes:
        index: If `ok`, the last index that equals the leader's log and is on disk; else where to try next.
        round: That of the message which is answered.
    """

    term: Count
    ok: bool
    index: Count
    round: Count


class InstallSnapshot(Message, tag="Part"):
    """A chunk of a snapshot that replaces the log up to `index`."""

    term: Count
    index: Count
    index_term: Count
    offset: Count
    last: bool
    round: Count
    octets: SnapshotChunk


class InstallSnapshotReply(Message, tag="PartGot"):
    """The answer to `InstallSnapshot`; everything before `offset` has been received."""

    term: Count
    index: Count
    offset: Count
    round: Count


class TimeoutNow(Message, tag="HandOver"):
    """A leader that shuts down asks its most up-to-date follower to start an election at once."""

    term: Count
