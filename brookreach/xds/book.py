"""The control service's state: the view as it stands, what proxies hold, when the next snapshot goes out.

No I/O: `now` is handed in. Urgent changes (drains, falling trial shares) are published at once, others are
merged for `merge_ms`. A proxy that is gone may go on with what it was told last, so it counts for
`forget_ms`.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brookreach import interface as ifc
from brookreach.xds import assign, resources
from brookreach.xds.messages import RDS, Answer, Limits, Snapshot
from brookreach.xds.records import Assignment, ClusterSet, ProxyUse, Seat, View
from brookreach.xds.stream import Session


@dataclass
class Proxy:
    """One proxy by its node id, over its streams."""

    name: str
    sessions: list[Session] = field(default_factory=list)
    rate: float = 0.0  # RPCs a second by its last sound report
    last_shares: tuple[float, ...] = ()  # when its last stream ended
    left_at: float = math.inf

    def may_use(self, share_of: Callable[[str], float]) -> tuple[float, ...]:
        shares = {share_of(version) for one in self.sessions for version in one.may_use(RDS)}
        return tuple(sorted(shares | set(self.last_shares)))


class Book:
    """All of it. `publish` gives the snapshot that every session is held against."""

    def __init__(
        self,
        start: ifc.BalancerSettings,
        zones: Sequence[str],
        life: str,
        merge_ms: float = 100.0,
        forget_ms: float = 300_000.0,
        linger_ms: float = 30_000.0,
        proxies: int = 4096,
    ):
        self.start, self.zones, self.life = start, zones, life
        self.merge_ms, self.forget_ms, self.linger_ms, self.most = merge_ms, forget_ms, linger_ms, proxies
        self.proxies: dict[str, Proxy] = {}
        self.view: View | None = None
        self.seats: Mapping[int, Seat] = {}
        self.current: Assignment | None = None
        self.snapshot: Snapshot | None = None
        self.dirty_at = math.inf
        self.lingers: dict[str, float] = {}  # clusters that went: until when they stand empty
        self.shares: OrderedDict[str, float] = OrderedDict()  # by routes' version: the largest trial share

    # --- proxies ---

    def join(self, now: float, name: str, delta: bool, limits: Limits | None = None) -> Session | None:
        """A stream begins; None where there are too many proxies."""
        self.forget(now)
        if name not in self.proxies and len(self.proxies) >= self.most:
            return None
        proxy = self.proxies.setdefault(name, Proxy(name))
        session = Session(delta, self.life, limits)
        proxy.sessions.append(session)
        proxy.left_at = math.inf
        return session

    def leave(self, now: float, name: str, session: Session) -> None:
        proxy = self.proxies.get(name)
        if proxy is None or session not in proxy.sessions:
            return
        shares = proxy.may_use(self.share_of)
        proxy.sessions.remove(session)
        if not proxy.sessions:
            proxy.left_at, proxy.last_shares = now, shares

    def forget(self, now: float) -> None:
        for name in [n for n, proxy in self.proxies.items() if now > proxy.left_at + self.forget_ms]:
            del self.proxies[name]

    def acked(self, now: float, name: str) -> None:
        """A proxy has ACKed: what an earlier stream of it was told is over once this one's routes stand."""
        proxy = self.proxies.get(name)
        if proxy is None or self.snapshot is None:
            return
        if proxy.last_shares and any(one.settled(RDS, self.snapshot) for one in proxy.sessions):
            proxy.last_shares = ()
        self.dirty(now, False)

    def reported(self, name: str, rate: float) -> None:
        if name in self.proxies:
            self.proxies[name].rate = rate

    def share_of(self, version: str) -> float:
        """The largest trial share of a version of the routes; what is not known counts as the cap of all."""
        return self.shares.get(version, 1.0)

    def uses(self) -> dict[str, ProxyUse]:
        return {name: ProxyUse(proxy.rate, proxy.may_use(self.share_of)) for name, proxy in self.proxies.items()}

    # --- the view ---

    def update(self, now: float, view: View, seats: Mapping[int, Seat]) -> bool:
        """A new view; whether it must go out at once."""
        self.view, self.seats = view, seats
        made = self.make(now)
        hurry = assign.urgent(self.current, made)
        if made != self.current:
            self.dirty(now, hurry)
        return hurry

    def dirty(self, now: float, hurry: bool) -> None:
        self.dirty_at = now if hurry else min(self.dirty_at, now + self.merge_ms)

    def make(self, now: float) -> Assignment:
        assert self.view is not None
        made = assign.assign(replace(self.view, at_ms=now), self.start, self.seats, self.uses())
        names = {one.name for one in made.clusters}
        for one in self.current.clusters if self.current else ():
            if one.name not in names:
                # Routes under way still name it: it stands, empty, until they are surely gone.
                until = self.lingers.setdefault(one.name, now + self.linger_ms)
                if now < until:
                    made = replace(made, clusters=(*made.clusters, ClusterSet(one.name, ())))
        self.lingers = {n: until for n, until in self.lingers.items() if n not in names and now < until}
        return made

    def publish(self, now: float) -> Snapshot | None:
        """The snapshot if it is due and differs; else None."""
        if self.view is None or now < self.dirty_at:
            return None
        self.dirty_at = min(self.lingers.values(), default=math.inf)
        made = self.make(now)
        if made == self.current:
            return None
        before = self.snapshot
        self.current, self.snapshot = made, resources.snapshot(made, self.zones)
        if before is not None and before.versions == self.snapshot.versions:
            return None
        parts = [part for route in made.routes for name, part in route.clusters if name != assign.EARLIER]
        version = self.snapshot.of(RDS)[resources.ROUTES].version
        self.shares[version] = max(parts, default=0) / assign.MILLION
        self.shares.move_to_end(version)
        while len(self.shares) > 1024:
            self.shares.popitem(last=False)
        return self.snapshot

    def due(self, session: Session) -> list[Answer]:
        """What this stream is to be told now."""
        return session.due(self.snapshot) if self.snapshot is not None else []
