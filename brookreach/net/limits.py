"""Every size, count and time of the network side, in one type that is filled at the start and handed down.

This module owns the division of descriptors and memory. It holds nothing that decides about an RPC, a node or a build:
such figures stand in `brookreach.policy`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brookreach.balancer_settings_reader import REGISTRY_MODES
from brookreach.settings_object import SettingsError, SettingsObject

KIB = 1024
MAX_MEMORY_MB = 1e9  # where the configuration states none
# After SIGTERM, SIGKILL comes no sooner than the longest time of an RPC, counted as 3 s if it is longer, and 0.7 s
# (the protocol page, Figures). Of that are reserved: 0.15 s for a process that is held up as the signal comes, 0.15 s
# for one that is held up as it answers, and 0.1 s for its exit.
KILL_LIMIT_S = 3.0
KILL_MARGIN_S = 0.7
STOP_RESERVE_S = 0.4
# What discovery has counts as told at the latest 6 s after it can be reached (the standing page); its answer may take
# 2 s. The reserve is for a process that is held up, and for the way to discovery and back.
LIST_TOLD_WITHIN_S = 6.0
LIST_ANSWER_S = 2.0
LIST_RESERVE_S = 0.2
AGENT_RETRY_S = 0.04
RESERVED_DESCRIPTORS = 24
PROGRAM_BYTES = 26 * KIB * KIB  # of the process at rest
CONNECTION_BYTES = 8 * KIB  # of memory, for each connection that may stand
MIN_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes, counts and times of the network side."""

    # From the configuration and the settings.
    max_clients: int  # client connections at a time; beyond it those that hold no RPC are evicted for new ones
    max_links: int  # connections to nodes at a time, idle ones among them
    large_message_bytes: int  # of messages that come, beyond the first buffers of client connections
    large_answer_bytes: int  # the same of connections to nodes
    open_rpc_bytes: int  # of all RPCs without a final answer; those that come beyond it are refused
    held_answer_bytes: int  # of all answers that can't be written yet
    connect_timeout_s: float  # of a connection to a node
    idle_timeout_s: float  # an idle connection is closed by us before the other side may close it
    vote_timeout_s: float  # of a vote's answer
    slow_message_timeout_s: float  # of a message that comes in pieces
    drain_timeout_s: float  # after a stop is requested, all that is open or comes later is answered within this
    has_central_discovery: bool  # the list comes from one service for all balancers, not from an agent beside this one
    watch_wait_s: float  # how long a watch of the list waits for something newer
    late_watch_s: float  # past its wait, the next watch is opened beside it, if sooner than it is given up
    watch_grace_s: float  # past its wait, a silent watch of the list is given up
    full_list_timeout_s: float  # of a silent call for the whole list
    initial_list_wait_s: float  # at the start, how long the agent's list is waited for before RPCs are taken
    list_retry_period_s: float  # between the begins of calls for the list that fail without cost to the service
    list_overload_delay_s: float  # after the first call that an overloaded service failed; it doubles
    list_overload_max_delay_s: float
    # Of the protocols: values hold 64 KiB, twice that as text, and a head around them.
    max_message_bytes: int = 192 * KIB
    max_startup_bytes: int = 4 * KIB
    max_comment_bytes: int = 512
    max_body_bytes: int = 4096 * KIB  # of an answer of discovery or the platform
    max_feed_line_bytes: int = 64 * KIB  # one object of the feed
    backlog: int = 512  # connections that the kernel accepts ahead: many may come at once
    # Of one client connection: messages handled in one turn, and RPCs that may always be under way.
    messages_per_turn: int = 8
    max_pipelined: int = 32  # RPCs of one client connection under way; those sent beyond that lie unread
    # Beyond `messages_per_turn`, bytes that the RPCs under way and the waiting answers of a connection may hold.
    max_pipelined_bytes: int = 8 * 192 * KIB
    max_invalid_statements: int = 8  # statements that can't be taken, until their connection is closed
    silence_timeout_s: float = 2.0  # of a connection that has asked nothing, or of a partial message
    crowded_idle_timeout_s: float = 2.0  # of an idle connection while over half of the connections are in use
    stalled_timeout_s: float = 5.0  # a client that takes nothing of its answer for so long is gone
    min_refusals: int = 8  # refused connections that have not closed yet
    refusal_timeout_s: float = 0.25  # how long they have for that
    # How long each connection to a node is used once, after it answered twice or out of order.
    single_use_period_s: float = 10.0
    accept_retry_s: float = 0.02  # after an error for want of room, until accept is tried again
    accept_wait_s: float = 0.25  # that a connection may wait for refused ones; an RPC on it is late after 0.5 s
    # At a stop, connections keep coming for a moment after the signal.
    refuse_new_after_s: float = 0.5
    exit_grace_s: float = 0.15  # past drain_timeout_s, until the process exits: what comes then is refused at once
    # Discovery and the platform.
    stale_list_period_s: float = 10.0  # for so long, older lists take no drain back; after that they do
    stale_status_period_s: float = 10.0  # for so long after the newest rollout status, older ones count as held up
    retry_min_s: float = 0.1  # between tries of the feed after a failure
    retry_max_s: float = 1.0
    feed_silence_timeout_s: float = 3.5  # a feed without a sign of life for so long is opened again
    # Logging.
    log_lines_per_s: int = 20  # of each kind of line
    # Sockets handled before the balancer's events, and events before the sockets again. An RPC brings three events.
    sockets_per_poll: int = 8
    sockets_per_turn: int = 64  # accepted at a time, or read of one connection at its end
    events_per_turn: int = 256
    turn_s: float = 0.005  # of both, before other tasks run: reading a list of nodes takes several of their turns
    turns_after_standstill: int = 16  # of other tasks, before RPCs are read
    gc_threshold: int = 20_000  # objects allocated between collections: RPCs leave no cycles behind
    sweep_interval_s: float = 0.25  # between searches for what has been idle or silent for long


def _service_retry_period_s(within_s: float) -> float:
    """Return the longest time between the begins of two calls to the service for lists.

    A balancer has to ask within `within_s`, after a failed call within four times as long.
    """
    return min(LIST_TOLD_WITHIN_S - LIST_ANSWER_S - LIST_RESERVE_S, 2.0 * within_s)


def limits_from(limits: Mapping[str, Any], settings_values: Mapping[str, Any]) -> Limits:
    """Return the limits of a process.

    Args:
        limits: The object `limits` of the configuration.
        settings_values: The object `settings` of the configuration.

    Raises:
        SettingsError: A value is missing or wrong, or there is no room for connections.
    """
    settings, given = SettingsObject(settings_values, "settings"), SettingsObject(limits, "limits")
    allowed, sockets = settings.object("allowed"), given.count("sockets")
    longest_s = max([one.ms_from_us("hardLimitUs") for one in settings.objects("classes")], default=0.0) / 1000.0
    # A connection costs a descriptor and, at rest, some 4 KiB; a quarter of the memory is for these. What the
    # program leaves is shared by large messages of clients, those of nodes, open RPCs and answers that wait; the rest
    # of it is for connections and what the allocator holds. Reserved descriptors: the epoll, standard streams, the
    # listener, discovery, the feed, votes under way, refused connections, one just accepted.
    memory = int(given.number("memory_mb", MAX_MEMORY_MB) * 1024 * KIB)
    spare = max(memory - PROGRAM_BYTES, memory // 16)
    connections = min(sockets - RESERVED_DESCRIPTORS, memory // 4 // CONNECTION_BYTES)
    if connections < MIN_CONNECTIONS:
        raise SettingsError(
            f"limits.sockets {sockets} or limits.memory_mb {memory / KIB / KIB:g} leave no room for connections"
        )
    # One service answers all balancers in turn and may take 2 s for it: a call that leaves the queue before that has
    # used it for nothing, and the calls that one balancer may make in a second, all together may not. An agent answers
    # at once, at no cost, or is silent while discovery is down; what it has then counts as known, called or not: it is
    # called so often that it is heard before a drain's grace is over. A late watch of the service may have fallen
    # silent, and what it misses counts as known 2 s past its wait: the next one is opened before the late one is left,
    # and has 1.5 s for its answer.
    is_service = settings.choice("registryMode", REGISTRY_MODES)
    within_s = settings.object("guarantees").ms_from_us("askWithinUs") / 1000.0
    return Limits(
        has_central_discovery=is_service,
        watch_wait_s=min(within_s, 60.0) if is_service else 2.0,  # the service waits 60 s at most
        late_watch_s=0.5 if is_service else math.inf,
        watch_grace_s=3.0 if is_service else 1.5,
        full_list_timeout_s=3.0 if is_service else 0.15,
        initial_list_wait_s=0.0 if is_service else 0.5,
        list_retry_period_s=_service_retry_period_s(within_s) if is_service else AGENT_RETRY_S,
        list_overload_delay_s=min(0.1 * settings.count("balancers"), 0.5 * within_s) if is_service else AGENT_RETRY_S,
        list_overload_max_delay_s=2.0 * within_s if is_service else AGENT_RETRY_S,
        max_clients=connections * 11 // 20,
        max_links=connections * 9 // 20,
        large_message_bytes=min(memory // 16, spare // 12),
        large_answer_bytes=min(memory // 16, spare // 8),
        open_rpc_bytes=spare // 8,
        held_answer_bytes=spare // 12,
        connect_timeout_s=allowed.ms_from_us("dialTimeoutUs") / 1000.0,
        idle_timeout_s=0.8 * allowed.ms_from_us("keepaliveUs") / 1000.0,
        vote_timeout_s=settings.object("familyInfo").ms_from_us("answerWaitUs") / 1000.0,
        slow_message_timeout_s=max(3.0, longest_s) + 0.5,
        drain_timeout_s=min(KILL_LIMIT_S, longest_s) + KILL_MARGIN_S - STOP_RESERVE_S,
    )
