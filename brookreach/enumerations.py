"""Enumerations of the decision interface: method kinds, node states, outcomes, verdicts and rollout phases.

The numbers are the interface's own: adapters translate them from and to the codes of their protocol. Records of
verdicts store the numbers of `Outcome` and `RolloutPhase`, and logs name the members, so neither may change.
"""

from enum import IntEnum


class Idempotency(IntEnum):
    """Whether an RPC of a method may be executed more than once."""

    IDEMPOTENT = 0
    TOKENED = 1  # repeats carry an idempotency token; nodes drop them for a limited time
    NON_IDEMPOTENT = 2


class DedupScope(IntEnum):
    """The nodes that recognise a repeated idempotency token: all, those of one zone or those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class NodeState(IntEnum):
    """State of a node as discovery reports it. Only a ready node gets new picks."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How a pick, a probe or the delivery of a vote ended."""

    OK = 0
    ERROR = 1
    FULL = 2  # refused for want of capacity; it was not executed
    TIMEOUT = 3
    NO_CONNECT = 4  # it was not sent
    RESET = 5  # the connection broke after it was sent
    CANCELLED = 6
    MOOT = 7  # what made it right no longer holds; it was not executed


class ListKind(IntEnum):
    """What a list of nodes holds."""

    FULL = 0  # all nodes; a node that is missing from it is gone
    DELTA = 1  # the nodes that changed
    FAILED = 2  # nothing: the list could not be fetched
    CACHED = 3  # all nodes as they were known earlier; newer lists replace it


class Verdict(IntEnum):
    """What a balancer votes on the build on trial."""

    NONE = 0  # no vote yet
    ON = 1  # go on to the next rollout stage
    HOLD = 2  # stay at the present stage
    BACK = 3  # roll back


class RolloutPhase(IntEnum):
    """Phase of the rollout of one build."""

    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class PromotionGate(IntEnum):
    """What moves a build on to its next stage: one vote, a number of votes, or a timer."""

    ANY = 0
    SHARE = 1
    CLOCK = 2


class LoadMetric(IntEnum):
    """Metrics that a node may report about its own load."""

    INFLIGHT = 0  # requests in execution
    QUEUED = 1
    CPU_SHARE = 2
    SERVICE_MS = 3
    RATE = 4  # requests served per second
    ERROR_RATE = 5  # requests failed per second
