"""The enumerations of the interface: kinds of methods, nodes, lists, endings, votes and builds.

Values are part of nothing that is stored; adapters translate them to and from the words of their protocol.
"""

from enum import IntEnum


class Idempotency(IntEnum):
    """Whether an RPC of a method may run more than once."""

    IDEMPOTENT = 0
    TOKENED = 1
    NON_IDEMPOTENT = 2


class DedupScope(IntEnum):
    """Which nodes drop the repeats of a tokened RPC."""

    ALL = 0
    ZONE = 1
    CELL = 2


class NodeState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How a pick, a probe or a vote ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    NO_CONNECT = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class ListKind(IntEnum):
    FULL = 0
    DELTA = 1
    FAILED = 2
    CACHED = 3


class Verdict(IntEnum):
    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class RolloutPhase(IntEnum):
    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class PromotionGate(IntEnum):
    """What moves a build on: one vote, a share of the votes, or a clock."""

    ANY = 0
    SHARE = 1
    CLOCK = 2


class LoadMetric(IntEnum):
    """What a node's load report holds."""

    INFLIGHT = 0
    QUEUED = 1
    CPU_SHARE = 2
    SERVICE_MS = 3
    RATE = 4
    ERROR_RATE = 5
