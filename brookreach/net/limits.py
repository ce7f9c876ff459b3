"""Every size, count and time of the network side, in one type that is filled at start and handed down.

It owns the sharing out of descriptors and memory. It must never hold what decides about an RPC, a node or a
build: such figures stand in `brookreach.decide`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brookreach.facts import FactsError, to_ms

KIB = 1024


@dataclass(frozen=True, slots=True)
class Limits:
    # From the configuration and the settings.
    clients: int  # client connections at a time; past it new ones are refused
    again: int  # below so many they are taken again: each way costs a burst of new ones
    backlog: int  # of them, those that the kernel takes for us ahead
    links: int  # connections to nodes at a time, idle ones among them
    held: int  # RPCs that have no final answer yet
    dial_s: float  # a connection to a node is up within this or never
    idle_s: float  # an idle one is closed by us before the other side may
    reply_s: float  # a vote's answer
    drain_s: float  # after a stop is asked for, the longest that RPCs under way are waited for
    # Of the protocols: values hold 64 KiB, twice that as text, and a head around them.
    message: int = 192 * KIB
    head: int = 4 * KIB  # startup messages
    comment: int = 512
    body: int = 4096 * KIB  # a discovery or platform answer
    line: int = 64 * KIB  # one object of the feed
    pipelined: int = 8  # RPCs under way on one client connection
    startup_s: float = 5.0  # a client's startup comes within this or is dropped
    stuck_s: float = 5.0  # a client that takes nothing of its answer for so long has gone
    # Stopping: connections go on coming for a moment after the signal.
    linger_s: float = 0.5
    # Discovery and the platform.
    watch_s: float = 2.0  # a watch waits so long for something newer
    answer_s: float = 1.5  # past its wait, a silent call is given up
    again_s: float = 0.1  # between tries after a failure
    again_most_s: float = 1.0
    sign_s: float = 3.5  # a feed without a sign of life for so long is opened anew
    # Logging.
    lines: int = 20  # a second and kind of line
    # Turns: sockets looked at before the module has its own, and its events before the sockets have theirs.
    # An RPC brings three events. Long turns keep the news of drains waiting.
    sockets: int = 64
    events: int = 256
    turns: int = 2  # of both, before other tasks have theirs
    garbage: int = 20_000  # objects made between collections: RPCs leave no cycles behind
    sweep_s: float = 1.0  # between looks at what has been idle for long


def limits_from(limits: Mapping[str, Any], told: Mapping[str, Any]) -> Limits:
    """`limits` as the configuration words them, `told` the settings."""
    try:
        allowed, sockets, memory_mb = told["allowed"], int(limits["sockets"]), float(limits["memory_mb"])
        longest = max(to_ms(m["hardLimitUs"]) for m in told["classes"]) / 1000.0
        # A connection costs a descriptor and some memory; a third of the memory is for these.
        room = min(sockets - 64, int(memory_mb * 1024 * KIB / 3) // (64 * KIB))
        if room < 16:
            raise ValueError("sockets or memory_mb leave no room for connections")
        return Limits(
            clients=room * 2 // 5, again=room * 3 // 10,
            backlog=room // 10, links=room // 2, held=allowed["mostHeld"],
            dial_s=to_ms(allowed["dialTimeoutUs"]) / 1000.0,
            idle_s=0.8 * to_ms(allowed["keepaliveUs"]) / 1000.0,
            reply_s=to_ms(told["familyInfo"]["answerWaitUs"]) / 1000.0,
            drain_s=max(3.0, longest) + 0.5)
    except KeyError as error:
        raise FactsError(f"limits or settings lack {error}") from None
    except (TypeError, ValueError) as error:
        raise FactsError(f"limits are malformed: {error}") from None
