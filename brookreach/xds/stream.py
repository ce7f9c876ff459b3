"""One proxy's stream without I/O: what it asks, ACKs and NACKs in; what it must be told out.

State of the world and delta, after the published description of the xDS transport protocol. A `Session` is
one stream. It knows resource types by their URLs, names, versions and payloads as opaque bytes; what they
mean is `brookreach.xds.resources`. Latest state wins: there is no queue, only what the proxy holds and what
it should.

Order. Make before break: clusters before their endpoints, those before listeners, routes last; what goes
away goes in the reverse order, once the routes that used it are ACKed. `due` gives one answer a type at most
until that type is ACKed or NACKed, so a proxy that doesn't read holds one answer a type, whatever has
changed meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brookreach.xds.messages import (
    CDS,
    ORDER,
    PREFIX,
    RDS,
    WILD,
    WILDCARD,
    Answer,
    Ask,
    Limits,
    Refused,
    Resource,
    Snapshot,
)
from brookreach.xds.subscription import Kind


class Session:
    """One stream of one proxy. `life` makes nonces of this server's life unlike those of any other."""

    def __init__(self, delta: bool, life: str, limits: Limits | None = None):
        self.delta, self.life, self.limits = delta, life, limits or Limits()
        self.kinds: dict[str, Kind] = {}
        self.count = 0
        self.acks = self.nacks = self.stale = 0
        self.nacked: list[tuple[str, str, str]] = []  # type, version, the proxy's words; taken by the log
        self.acked: list[tuple[str, str]] = []  # type, version; taken by who counts exposure

    # --- what comes in ---

    def hear(self, ask: Ask) -> None:
        """Raises InvalidFrameError for what no proxy may ask."""
        if not ask.kind.startswith(PREFIX) or len(ask.kind) > self.limits.name_bytes:
            raise Refused("INVALID_ARGUMENT", f"type_url {ask.kind[:80]!r}: it must begin with {PREFIX}")
        for name in (*ask.names, *ask.subscribe, *ask.unsubscribe, *ask.initial):
            if len(name.encode("utf-8", "surrogatepass")) > self.limits.name_bytes:
                raise Refused("INVALID_ARGUMENT", f"a resource name of over {self.limits.name_bytes} bytes")
        if ask.kind not in self.kinds and len(self.kinds) >= self.limits.kinds:
            raise Refused("RESOURCE_EXHAUSTED", f"over {self.limits.kinds} types on one stream")
        kind = self.kinds.setdefault(ask.kind, Kind())
        if self.delta:
            self._hear_delta(kind, ask)
        else:
            self._hear_whole(kind, ask)
        if len(kind.names) > self.limits.names:
            raise Refused("RESOURCE_EXHAUSTED", f"over {self.limits.names} names of {ask.kind}")

    def _hear_whole(self, kind: Kind, ask: Ask) -> None:
        if kind.last_nonce and ask.nonce != kind.last_nonce:
            self.stale += 1  # it speaks of an answer that a later one has replaced, or of another life
            return
        first = not kind.asked
        if kind.nonce and ask.nonce == kind.nonce:
            self._settle(kind, ask)
        names = set(ask.names)
        # Names are all that it wants from now on; none at all from the first on, or "*": everything.
        wild = WILDCARD in names or (not names and ask.kind in WILD and (first or kind.wild))
        names.discard(WILDCARD)
        if not first:
            kind.forced |= names - kind.names  # asked for anew: said again even where held before
            for name in kind.names - names:
                if not wild:
                    kind.held.pop(name, None)
                    kind.good.pop(name, None)
        kind.asked, kind.wild, kind.names = True, wild, names

    def _hear_delta(self, kind: Kind, ask: Ask) -> None:
        first = not kind.asked
        if ask.nonce:
            if ask.nonce == kind.nonce:
                self._settle(kind, ask)
            else:
                self.stale += 1
        if first:
            kind.asked = True
            # What it holds of an earlier stream: only what is as it stands is not sent again.
            kind.held = dict(ask.initial)
            kind.good = dict(ask.initial)
            kind.wild = ask.kind in WILD and not ask.subscribe
        for name in ask.subscribe:
            if name == WILDCARD:
                kind.wild = True
            else:
                kind.names.add(name)
                if name not in ask.initial:
                    kind.forced.add(name)
                kind.absent.discard(name)
        for name in ask.unsubscribe:
            if name == WILDCARD:
                kind.wild = False
                for other in set(kind.held) - kind.names:
                    kind.held.pop(other), kind.good.pop(other, None)
                continue
            kind.names.discard(name)
            kind.absent.discard(name)
            kind.forced.discard(name)
            if not kind.wild:
                kind.held.pop(name, None)
                kind.good.pop(name, None)

    def _settle(self, kind: Kind, ask: Ask) -> None:
        if ask.error:
            self.nacks += 1
            words = ask.error.encode("utf-8", "replace")[: self.limits.error_bytes].decode("utf-8", "replace")
            self.nacked.append((ask.kind, kind.ack_version, " ".join(words.split())))
            # It stays on its last good; the same versions are not pressed on it again.
            kind.refused.update(kind.sent)
            kind.held = dict(kind.good)
        else:
            self.acks += 1
            kind.good = dict(kind.held)
            self.acked.append((ask.kind, kind.ack_version))
        kind.sent, kind.nonce = {}, ""

    # --- what goes out ---

    def due(self, snapshot: Snapshot) -> list[Answer]:
        """All answers that may go out now, in the protocol's order. Call it until it gives none."""
        out = []
        others = [url for url in self.kinds if url not in ORDER]
        for url in [*(url for url in ORDER if url in self.kinds), *others]:
            answer = self._answer(url, snapshot)
            if answer is not None:
                out.append(answer)
        return out

    def _answer(self, url: str, snapshot: Snapshot) -> Answer | None:
        kind = self.kinds[url]
        if not kind.asked or kind.nonce:
            return None  # one under way: latest state wins when it is settled
        if not self._may_go(url):
            return None
        stands = snapshot.of(url)
        wanted = {name: one for name, one in stands.items() if kind.wants(name)}
        kept = self._still_used(url, kind, wanted, snapshot)
        if self.delta:
            return self._delta(url, kind, wanted, kept, snapshot)
        return self._whole(url, kind, wanted, kept, snapshot)

    def _may_go(self, url: str) -> bool:
        """Make before break: a type waits while one before it, that the proxy follows too, is under way."""
        if url not in ORDER:
            return True
        return not any(self.kinds[one].nonce for one in ORDER[: ORDER.index(url)] if one in self.kinds)

    def _still_used(self, url: str, kind: Kind, wanted: Mapping[str, Resource], snapshot: Snapshot) -> set[str]:
        """Clusters that routes may still use: they stay until the newest routes are ACKed."""
        if url != CDS or RDS not in self.kinds:
            return set()
        if not self.kinds[RDS].refused and self.settled(RDS, snapshot):
            return set()
        return set(kind.held) - set(wanted)

    @staticmethod
    def _changed(kind: Kind, wanted: Mapping[str, Resource]) -> dict[str, Resource]:
        """What the proxy lacks, has in another version, or asked for anew; what it NACKed only if so."""
        return {
            name: one
            for name, one in wanted.items()
            if name in kind.forced or one.version not in (kind.held.get(name), kind.refused.get(name))
        }

    def _tell(
        self, url: str, kind: Kind, snapshot: Snapshot, some: Mapping[str, Resource], removed: set[str]
    ) -> Answer:
        """An answer under way from now on."""
        self.count += 1
        kind.nonce = kind.last_nonce = f"{self.life}.{self.count}"
        kind.sent = {name: one.version for name, one in some.items()}
        kind.held.update(kind.sent)
        kind.ack_version, kind.answered = snapshot.versions.get(url, ""), True
        kind.forced.clear()
        told = tuple(one for _, one in sorted(some.items()))
        return Answer(url, kind.nonce, kind.ack_version, told, tuple(sorted(removed)))

    def _whole(
        self, url: str, kind: Kind, wanted: Mapping[str, Resource], kept: set[str], snapshot: Snapshot
    ) -> Answer | None:
        some = self._changed(kind, wanted)
        missing = set(kind.held) - set(wanted) - kept
        all_at_once = url in WILD  # an answer lists all of these: what it leaves out is removed
        if not some and not (missing and all_at_once) and kind.answered:
            return None
        if not kind.answered and not wanted and not all_at_once:
            return None  # nothing of it yet: the proxy waits
        if all_at_once:
            # What routes may still use is told once more: left out, it would be removed.
            still = {name: kind.bodies[name] for name in kept if name in kind.bodies}
            some = kind.bodies = {**still, **wanted}
        kind.held = {name: version for name, version in kind.held.items() if name in wanted}
        return self._tell(url, kind, snapshot, some, set())

    def _delta(
        self, url: str, kind: Kind, wanted: Mapping[str, Resource], kept: set[str], snapshot: Snapshot
    ) -> Answer | None:
        some = self._changed(kind, wanted)
        removed = {name for name in kind.held if name not in wanted} - kept
        absent = {name for name in kind.names if name not in wanted and name not in kind.held} - kind.absent
        if not some and not removed and not absent and kind.answered:
            return None
        for name in removed:
            kind.held.pop(name, None)
        kind.absent = (kind.absent | absent | (removed & kind.names)) - set(wanted)
        return self._tell(url, kind, snapshot, some, removed | absent)

    def settled(self, url: str, snapshot: Snapshot) -> bool:
        """Whether the proxy has ACKed all that it wants of a type as it stands."""
        kind = self.kinds.get(url)
        if kind is None or kind.nonce:
            return False
        return all(kind.good.get(n) == r.version for n, r in snapshot.of(url).items() if kind.wants(n))

    def may_use(self, url: str) -> Iterable[str]:
        """Versions of a type's resources that the proxy may act on: its good ones and those under way."""
        kind = self.kinds.get(url)
        return set() if kind is None else {*kind.good.values(), *kind.held.values(), *kind.sent.values()}
