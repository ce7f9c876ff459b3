"""Every size, count and time of the network side, in one type that is filled at start and handed down.

It owns the sharing out of descriptors and memory. It must never hold what decides about an RPC, a node or a
build: such figures stand in `brookreach.policy`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brookreach.balancer_settings_reader import REGISTRY_MODES
from brookreach.settings_object import SettingsError, SettingsObject

KIB, MOST_MB = 1024, 1e9
# SIGKILL comes no sooner than the longest time of an RPC, counted as 3 s where it is longer, and 0.7 s more after
# SIGTERM (the protocol page, Figures). Of that are kept back: 0.15 s for a process that is held up as the signal comes,
# 0.15 s for one that is held up as it answers, and 0.1 s for its end.
KILL_LIMIT_S, KILL_MARGIN_S, STOP_RESERVE_S = 3.0, 0.7, 0.4


@dataclass(frozen=True, slots=True)
class Limits:
    # From the configuration and the settings.
    max_clients: int  # client connections at a time; past it those that hold no RPC make way for new ones
    max_links: int  # connections to nodes at a time, idle ones among them
    large_message_bytes: int  # bytes of what does not fit into first buffers, on client connections and on links each
    connect_timeout_s: float  # a connection to a node is up within this or never
    idle_timeout_s: float  # an idle one is closed by us before the other side may
    vote_timeout_s: float  # a vote's answer
    slow_message_timeout_s: float  # a message that comes in pieces is waited for so long
    drain_timeout_s: float  # after a stop is asked for, all that is open or comes later is answered within this
    has_central_discovery: bool  # the list is asked of one service for all marshals, not of an agent beside this one
    watch_wait_s: float  # a watch of the list waits so long for something newer
    late_watch_s: float  # past its wait, the next watch is opened beside it, if sooner than it is given up
    watch_grace_s: float  # past its wait, a silent watch of the list is given up
    full_list_timeout_s: float  # a silent call for the whole list
    initial_list_wait_s: float  # at a start, how long the agent's list is waited for before RPCs are taken
    list_retry_min_s: float  # the first pause after a call for the list that failed; it doubles
    list_retry_max_s: float
    # Of the protocols: values hold 64 KiB, twice that as text, and a head around them.
    max_message_bytes: int = 192 * KIB
    max_startup_bytes: int = 4 * KIB  # startup messages
    max_comment_bytes: int = 512
    max_body_bytes: int = 4096 * KIB  # a discovery or platform answer
    max_feed_line_bytes: int = 64 * KIB  # one object of the feed
    backlog: int = 512  # connections that the kernel takes for us ahead: a crowd comes at once
    messages_per_turn: int = (
        8  # of one client connection handled in one turn, and RPCs of it that may be under way always
    )
    max_pipelined: int = 32  # RPCs of one client connection under way; those written ahead of that lie unread
    max_pipelined_bytes: int = (
        8 * 192 * KIB
    )  # past `messages_per_turn`, bytes that its RPCs under way and waiting answers may hold
    max_invalid_statements: int = 8  # statements that can't be taken, until their connection is closed
    silence_timeout_s: float = 2.0  # a connection that has asked nothing, or half a message, is closed after this
    crowded_idle_timeout_s: float = 2.0  # one idle for so long is closed while over half of the connections are taken
    stalled_timeout_s: float = 5.0  # a client that takes nothing of its answer for so long has gone
    min_refusals: int = 8  # connections that were told that there is no room and have not closed yet
    refusal_timeout_s: float = 0.25  # so long they have for it
    single_use_period_s: float = (
        10.0  # connections to a node that was seen to answer twice or out of order are used once
    )
    accept_retry_s: float = 0.02  # after an error for want of room, until accept is tried again
    # Stopping: connections go on coming for a moment after the signal.
    refuse_new_after_s: float = 0.5
    exit_grace_s: float = 0.15  # past drain_timeout_s, until the process ends: what comes then is refused at once
    # Discovery and the platform.
    stale_list_period_s: float = 10.0  # lists older than what was told take no drain back for so long, then they do
    retry_min_s: float = 0.1  # between tries of the feed after a failure
    retry_max_s: float = 1.0
    feed_silence_timeout_s: float = 3.5  # a feed without a sign of life for so long is opened anew
    # Logging.
    log_lines_per_s: int = 20  # a second and kind of line
    # Turns: sockets looked at before the module has its own, and its events before the sockets have theirs.
    # An RPC brings three events. Long turns keep the news of drains waiting.
    sockets_per_turn: int = 64
    events_per_turn: int = 256
    turns_before_yield: int = 2  # of both, before other tasks have theirs
    gc_threshold: int = 20_000  # objects made between collections: RPCs leave no cycles behind
    sweep_interval_s: float = 0.25  # between looks at what has been idle or silent for long


def limits_from(limits: Mapping[str, Any], told: Mapping[str, Any]) -> Limits:
    """`limits` as the configuration words them, `told` the settings. Raises SettingsError."""
    settings, given = SettingsObject(told, "settings"), SettingsObject(limits, "limits")
    allowed, sockets = settings.object("allowed"), given.count("sockets")
    longest = max([one.ms_from_us("hardLimitUs") for one in settings.objects("classes")], default=0.0) / 1000.0
    # A connection costs a descriptor and, at rest, some 4 KiB; a quarter of the memory is for these, a
    # sixteenth each for large messages of clients and of nodes. Descriptors kept back: the epoll,
    # standard streams, the listener, discovery, the feed, votes under way, refused ones, one just accepted.
    memory = int(given.number("memory_mb", MOST_MB) * 1024 * KIB)
    room = min(sockets - 24, memory // 4 // (8 * KIB))
    if room < 16:
        raise SettingsError(
            f"limits.sockets {sockets} or limits.memory_mb {memory / KIB / KIB:g} leave no room for connections"
        )
    # One service answers all marshals in turn and may take 2 s for it: who leaves the queue before that
    # has used it for nothing. What one marshal may ask in a second, all together may not. An agent
    # answers at once, for nothing, or is silent while discovery is down; what it has then counts as told,
    # asked or not: it is asked again so often that a drain's grace is not over before it is heard.
    # A watch of the service that is late may have fallen silent, and what it misses counts as told 2 s
    # past its wait: the next one is opened before the late one is left, and has 1.5 s for its answer.
    service = settings.choice("registryMode", REGISTRY_MODES)
    within = settings.object("guarantees").ms_from_us("askWithinUs") / 1000.0
    return Limits(
        has_central_discovery=service,
        watch_wait_s=min(within, 60.0) if service else 2.0,  # it waits 60 s at most
        late_watch_s=0.5 if service else math.inf,
        watch_grace_s=3.0 if service else 1.5,
        full_list_timeout_s=3.0 if service else 0.15,
        initial_list_wait_s=0.0 if service else 0.5,
        list_retry_min_s=min(0.1 * settings.count("balancers"), 0.5 * within) if service else 0.04,
        list_retry_max_s=2.0 * within if service else 0.04,
        max_clients=room * 11 // 20,
        max_links=room * 9 // 20,
        large_message_bytes=memory // 16,
        connect_timeout_s=allowed.ms_from_us("dialTimeoutUs") / 1000.0,
        idle_timeout_s=0.8 * allowed.ms_from_us("keepaliveUs") / 1000.0,
        vote_timeout_s=settings.object("familyInfo").ms_from_us("answerWaitUs") / 1000.0,
        slow_message_timeout_s=max(3.0, longest) + 0.5,
        drain_timeout_s=min(KILL_LIMIT_S, longest) + KILL_MARGIN_S - STOP_RESERVE_S,
    )
