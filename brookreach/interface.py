"""What a marshal is told and what it may do, whichever protocol carries it.

Times are milliseconds (float). Ids of RPCs, nodes and keys are kept as the protocol gave them.
Nothing here decides anything: a protocol's adapter fills these types in, `brookreach.decide` acts on them.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class Repeat(IntEnum):
    """Whether an RPC of a method may run more than once."""

    IDEMPOTENT = 0
    TOKENED = 1
    NON_IDEMPOTENT = 2


class Group(IntEnum):
    """Which nodes drop the repeats of a tokened RPC."""

    ALL = 0
    ZONE = 1
    CELL = 2


class NodeState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class Ending(IntEnum):
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


class Phase(IntEnum):
    ON_TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Gate(IntEnum):
    """What moves a build on: one vote, a share of the votes, or a clock."""

    ANY = 0
    SHARE = 1
    CLOCK = 2


class Load(IntEnum):
    """What a node's load report holds."""

    INFLIGHT = 0
    QUEUED = 1
    CPU_SHARE = 2
    SERVICE_MS = 3
    RATE = 4
    ERROR_RATE = 5


# --- start-up facts: several small records, each named for what it holds ---


@dataclass(frozen=True, slots=True)
class Method:
    name: str
    repeat: Repeat
    group: Group
    token_ms: float
    soft_ms: float
    hard_ms: float
    utility: float
    late_utility: float
    soft_stretch: float
    streamed: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float
    rate: float


@dataclass(frozen=True, slots=True)
class Place:
    """Where this marshal stands among the others."""

    zone: int
    ordinal: int
    marshals: int


@dataclass(frozen=True, slots=True)
class Permits:
    cancel: bool
    probes: bool
    second_copies: bool
    peers: bool
    come_back: bool
    come_back_ms: float
    max_picks: int
    max_open: int
    list_on_request: bool


@dataclass(frozen=True, slots=True)
class Guards:
    """Figures of the rules."""

    answer_slack_ms: float
    ask_within_ms: float
    cold_share: float
    warm_ms: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Exposure:
    window_ms: float
    free: float
    caps: tuple[float, ...]
    by_method: bool
    closed_stages: int
    one_way: bool


@dataclass(frozen=True, slots=True)
class Voting:
    gate: Gate
    on_votes: int
    back_votes: int
    hold_votes: int
    vote_ms: float
    answer_ms: float
    votes_per_s: float
    dwell_ms: float
    step_ms: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """How builds are brought in."""

    stage_shares: tuple[float, ...]
    in_place: bool
    news_ms: float
    tally_ms: float
    tally_sample: float
    disputed_share: float
    warm_keys: bool


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    delay: float
    harm: float


@dataclass(frozen=True, slots=True)
class Stated:
    """The error rates of a whole wave, over all marshals, that its operators state before it."""

    false_alarm: float = 0.05  # a good build is sent back
    miss: float = 0.05  # a bad one is released


@dataclass(frozen=True, slots=True)
class Start:
    """A marshal's life begins; it knows nothing else."""

    seed: int
    place: Place
    methods: tuple[Method, ...]
    tenants: tuple[Tenant, ...]
    over_share_utility: float
    permits: Permits
    guards: Guards
    exposure: Exposure
    voting: Voting
    rollout: Rollout
    prices: Prices
    reports: tuple[Load, ...]
    tick_ms: float
    stated: Stated = Stated()


# --- events ---


@dataclass(frozen=True, slots=True)
class NodeEntry:
    node: int
    state: NodeState
    started_ms: float  # 0: long ago
    build: int
    zone: int
    cell: int
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class NodeList:
    kind: ListKind
    version: int
    entries: tuple[NodeEntry, ...]


@dataclass(frozen=True, slots=True)
class RpcTaken:
    """A client's RPC, to be answered by `deadline_ms`. It may have come `unread_ms` before it was read."""

    rpc: int
    method: int
    tenant: int
    key: int
    deadline_ms: float
    cost_ms: float | None
    repeat: bool
    write: bool
    unread_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """An open RPC has to be answered by `deadline_ms`, sooner than was said: other answers wait for its own."""

    rpc: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RpcGone:
    rpc: int


@dataclass(frozen=True, slots=True)
class PickEnded:
    rpc: int
    nth: int
    node: int
    ending: Ending
    final: bool
    took_ms: float
    load: Mapping[Load, float]


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    node: int
    ending: Ending
    took_ms: float
    load: Mapping[Load, float]


@dataclass(frozen=True, slots=True)
class StreamBegun:
    rpc: int
    nth: int
    node: int
    took_ms: float


@dataclass(frozen=True, slots=True)
class TimerRang:
    token: int


@dataclass(frozen=True, slots=True)
class RolloutNews:
    reply: bool
    ending: Ending
    stage: int
    cap: float
    phase: Phase
    age_ms: float
    build: int


@dataclass(frozen=True, slots=True)
class Tally:
    build: int
    method: int
    age_ms: float
    failed: int
    count: int
    mean_ms: float


@dataclass(frozen=True, slots=True)
class Disputed:
    node: int
    method: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    peer: int
    octets: bytes


Event = (
    NodeList
    | RpcTaken
    | DeadlineShortened
    | RpcGone
    | PickEnded
    | ProbeEnded
    | StreamBegun
    | TimerRang
    | RolloutNews
    | Tally
    | Disputed
    | PeerMessage
)


# --- actions ---


@dataclass(frozen=True, slots=True)
class Pick:
    """One RPC to one node. Past `write_ms` the query's last byte may not be written any more: the pick ends
    as one that never ran. It goes over no connection whose last answer is less than `rest_ms` old."""

    rpc: int
    node: int
    wait_ms: float
    write_ms: float = math.inf
    rest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PushBack:
    rpc: int
    come_back_ms: float


@dataclass(frozen=True, slots=True)
class Abort:
    rpc: int


@dataclass(frozen=True, slots=True)
class CancelPick:
    rpc: int
    nth: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    node: int


@dataclass(frozen=True, slots=True)
class Vote:
    verdict: Verdict
    stage: int
    build: int


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class FollowList:
    on: bool


@dataclass(frozen=True, slots=True)
class TellPeer:
    peer: int | None  # None: all
    octets: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str


@dataclass(frozen=True, slots=True)
class Fault:
    """The decision code failed; only an adapter says this."""

    text: str


Action = (
    Pick
    | PushBack
    | Abort
    | CancelPick
    | SetTimer
    | Probe
    | CloseIdle
    | Vote
    | FetchList
    | FollowList
    | TellPeer
    | LogLine
    | Fault
)
