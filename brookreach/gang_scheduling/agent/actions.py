"""What an agent tells its node to do, answers to orders, and keeps of one incarnation. It decides nothing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

MemberSlot = tuple[str, int]  # gang and member


@dataclass(frozen=True, slots=True)
class NodeAction:
    """On the node. `run` and `grant` carry the moment of its clock past which nothing may work."""

    what: Literal["run", "go", "save", "kill", "grant"]
    slot: MemberSlot = ("", 0)
    fence: int = 0
    epoch: int = 0
    until: float = 0.0


@dataclass(frozen=True, slots=True)
class TaskReply:
    """To one token. The final one is kept; whoever asks again gets the same."""

    token: str
    ok: bool
    text: str
    final: bool = True


@dataclass(slots=True)
class MemberProcess:
    """One incarnation on the node."""

    fence: int
    state: Literal["loading", "ready", "working", "saving", "saved", "dying"]
    epoch: int  # the newest that it was asked to keep, or told is over
    waiting: list[str] = field(default_factory=list)  # tokens to be answered when this step ends
    work_ms: int = 0  # in the epoch that it kept last

    def wait(self, token: str) -> None:
        if token not in self.waiting:
            self.waiting.append(token)
