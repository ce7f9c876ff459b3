"""What reaches a simulated process besides messages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Alarm:
    """The alarm that an incarnation set for a true time."""

    at_ms: float
    incarnation: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of a client's script; `action` is what the script wants to do."""

    incarnation: int
    action: str = ""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """At a client: its connection to a replica has ended."""

    replica: str
    connection: int


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """At a replica: a client has closed its connection."""

    client: str
    connection: int


@dataclass(frozen=True, slots=True)
class ConnectionReplaced:
    """At a replica: a client has opened another connection."""

    client: str


@dataclass(frozen=True, slots=True)
class CrashDue:
    """At a replica: the moment after its promise at which it is killed."""

    incarnation: int


ProcessEvent = Alarm | TimerFired | ConnectionLost | ConnectionClosed | ConnectionReplaced | CrashDue
