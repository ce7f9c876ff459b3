"""What breaks in a drill: a list of faults, each with its own end, made from a seed and cut down when it
fails.

A fault knows what it touches, never whether that matters: the world carries it out. Every list leaves a
majority of the keepers' disks as they confirmed: what a group may not survive is no fault of this drill.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

LEADER = "leader"  # whoever it is when the fault begins
KINDS = ("cut", "halves", "slow", "lossy", "doubles", "kill", "stop", "end", "jump", "full", "emptied")
"""cut: one way. halves: no frame between the two sides. kill: its disk as it confirmed, `how` "before" or
"after" the next save, or "promise": once it has said what a new term on its disk allows, or "first": with the
entry that begins its lead on its disk alone. emptied: killed, and it comes back without a disk. end: as at
SIGTERM. "older", which the group is not built to bear, is played only where it is asked for."""
THEMES: dict[str, tuple[str, ...]] = {
    "all": KINDS,
    "elections": ("rivals", "churn", "promise", "leader killed", "leader stopped", "lossy"),
    "leases": ("alone", "alone", "frozen", "frozen", "leader killed", "slow"),
    "disks": ("kill", "kill", "full", "emptied", "end", "leader killed", "promise"),
}
"""What a seed's faults are drawn from. rivals: the leader goes, all keepers are slow to each other, and each
dies once after a promise. churn: leaders die one after the other, each with entries that none or few others
have. alone: one cut off from all. frozen: stopped, and cut off from all but its readers until a little after
it goes on."""


@dataclass(frozen=True, slots=True)
class Fault:
    """`who` and `other`: names. `size`: ms, a share in hundredths or a number of saves, by the kind."""

    at_ms: int
    kind: str
    who: tuple[str, ...]
    other: tuple[str, ...] = ()
    for_ms: int = 0
    size: int = 0
    how: str = ""

    def text(self) -> str:
        ends = f" and {', '.join(self.other)}" if self.other else ""
        more = "".join(f" {word}" for word in (self.how, str(self.size or "")) if word)
        return f"{self.at_ms} ms {self.kind} {', '.join(self.who)}{ends} for {self.for_ms} ms{more}"


def made(
    chance: random.Random, keepers: Sequence[str], clients: Sequence[str], until_ms: int, most: int
) -> list[Fault]:
    """In the order of their times. Disks are lost one after the other and fewer than half of them in all."""
    faults, spoilt = list[Fault](), set[str]()
    kinds = THEMES[chance.choice(sorted(THEMES))]
    for _ in range(chance.randint(1, most)):
        at, kind = chance.randrange(until_ms), chance.choice(kinds)
        span = int(10.0 * 2.0 ** chance.uniform(0.0, 8.5))  # 10 ms to 3.6 s, as many short ones as long
        some = _some(chance, kind, at, min(span, until_ms - at), until_ms - at, keepers, clients)
        lost = {one.who[0] for one in some if one.kind in ("emptied", "older")}
        if lost - spoilt and 2 * len(spoilt | lost) >= len(keepers):
            continue
        spoilt |= lost
        faults += some
    return sorted(faults, key=lambda one: (one.at_ms, one.kind, one.who))


def _some(
    chance: random.Random,
    kind: str,
    at: int,
    span: int,
    room: int,
    keepers: Sequence[str],
    clients: Sequence[str],
) -> list[Fault]:
    """One thing that happens, as the faults that it is made of."""
    everyone = (*keepers, *clients)
    keeper, anyone = chance.choice(keepers), chance.choice(everyone)
    short, long = chance.randint(5, 80), min(room, chance.choice((0, chance.randint(1000, 2500))))
    match kind:
        case "halves":
            cut = chance.sample(everyone, chance.randint(1, len(everyone) // 2))
            rest = tuple(one for one in everyone if one not in cut)
            return [Fault(at, kind, tuple(sorted(cut)), rest, span)]
        case "cut" | "slow" | "lossy" | "doubles":
            other = chance.choice([one for one in everyone if one != keeper])
            one, two = (keeper, other) if chance.random() < 0.5 else (other, keeper)
            size = {"slow": chance.randint(20, 500), "lossy": chance.randint(5, 60), "doubles": 50}.get(kind, 0)
            return [Fault(at, kind, (one,), (two,), span, size)]
        case "kill":
            return [Fault(at, kind, (anyone,), (), span, 0, chance.choice(("", "before", "after")))]
        case "promise":
            return [Fault(at, "kill", (keeper,), (), min(room, max(short, span)), 0, "promise")]
        case "leader killed":
            return [
                Fault(
                    at,
                    "kill",
                    (LEADER,),
                    (),
                    min(room, chance.choice((short, span))),
                    0,
                    chance.choice(("", "after")),
                )
            ]
        case "leader stopped":
            return [Fault(at, "stop", (LEADER,), (), span)]
        case "frozen":
            who = chance.choice((LEADER, LEADER, anyone))
            return [
                Fault(at, "stop", (who,), (), span),
                Fault(at, "halves", (who,), everyone, min(room, span + short)),
            ]
        case "alone":
            who = chance.choice((LEADER, chance.choice(clients), chance.choice(clients)))
            return [Fault(at, "halves", (who,), everyone, max(span, long))]
        case "churn":
            return _churn(chance, at, room, keepers)
        case "rivals":
            slow = Fault(at, "slow", tuple(keepers), tuple(keepers), min(room, 2000), chance.randint(50, 400))
            gone = Fault(at, "kill", (LEADER,), (), min(room, chance.choice((short, 1500))))
            dies = [Fault(at + min(room, 1), "kill", (one,), (), min(room - 1, 1800), 0, "promise") for one in keepers]
            return [slow, gone, *(one for one in dies if one.for_ms > 0)]
        case "stop":
            return [Fault(at, kind, (anyone,), (), span)]
        case "jump":
            return [Fault(at, kind, (anyone,), (), 0, chance.choice((-1, 1)) * chance.randint(100, 60_000))]
        case "older":
            return [Fault(at, kind, (keeper,), (), span, chance.randint(1, 40))]
    return [Fault(at, kind, (keeper,), (), span)]


def _churn(chance: random.Random, at: int, room: int, keepers: Sequence[str]) -> list[Fault]:
    """A leader dies with an entry that nobody else has, the next with its first entry, the third while it
    sends.
    """
    first, later = chance.randint(300, 900), chance.randint(900, 2600)
    planned = [
        Fault(at, "slow", tuple(keepers), tuple(keepers), 4000, chance.randint(20, 200)),
        Fault(at, "kill", (LEADER,), (), first, 0, "after"),
        *(Fault(at + 60, "kill", (one,), (), chance.randint(1200, 2800), 0, "first") for one in keepers),
        Fault(at + later, "kill", (LEADER,), (), chance.randint(800, 2500), 0, chance.choice(("", "after"))),
    ]
    return [replace(one, for_ms=min(one.for_ms, at + room - one.at_ms)) for one in planned if one.at_ms < at + room]


def cut_down(faults: list[Fault], fails: Callable[[list[Fault]], bool], most: int = 120) -> tuple[list[Fault], int]:
    """Fewer faults that still fail, and how many plays that took: halves first, then one by one."""
    plays, size = 0, max(1, len(faults) // 2)
    while faults and plays < most:
        at, shorter = 0, False
        while at < len(faults) and plays < most:
            fewer = faults[:at] + faults[at + size :]
            plays += 1
            if fails(fewer):
                faults, shorter = fewer, True
            else:
                at += size
        if size == 1 and not shorter:
            break
        size = max(1, size // 2)
    return faults, plays
