"""Why a client drops a message. Its `rejections` count dropped messages by these causes."""

from __future__ import annotations

from enum import StrEnum


class Rejection(StrEnum):
    """The cause for which a message from a replica is dropped without effect."""

    # Of any message.
    NOT_REQUESTED = "not asked"
    UNKNOWN_SEQUENCE_NUMBER = "unknown seq"
    UNKNOWN_REPLICA = "unknown keeper"

    # Of replies that concern the session.
    LEASE_OUT_OF_BOUNDS = "absurd lease"
    OTHER_SESSION = "other session"
    TIME_WENT_BACK = "time went back"
    INDEX_BEFORE_SESSION = "absurd place"

    # Of watch messages.
    DUPLICATE = "old news"
    REPLY_TO_EARLIER_WATCH = "not what was asked"
    OTHER_TABLES = "other tables"
    GAP = "gap"
    UPDATE_INSIDE_SNAPSHOT = "in a whole"
    PARTS_OUT_OF_ORDER = "parts out of order"
    OLDER_SNAPSHOT = "older than held"
    TOO_MANY_ROWS = "too many rows"
    DIGEST_MISMATCH = "other sum"
