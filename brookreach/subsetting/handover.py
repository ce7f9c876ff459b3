"""One marshal's way from one placement to the next, without a gap: make before break.

Whoever is to hold a service loads it at once. Whoever is to hold it no longer goes on until every marshal of the
service's present placement has answered, in its present session, that it serves the service and knows this version of
the view or a later one; only then does it drain. Why no instant is without cover, whatever is late, doubled or lost:
let v be the latest version of which somebody knew all holders to have answered. Each of them knew v or a later
version when it answered, so it may drain only under a later version, and only after all holders of that one have
answered, which then is the latest. All holders of version v therefore serve, but for those that died.

It must never drain on words of another version or session, after its lease by its own clock, or because the view
places a service that is still configured nowhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.subsetting.effects import Answer, AskWhole, Drain, Drop, Effect, Load, Question
from brookreach.subsetting.fleet_view import View, ViewChange, changed, follows
from brookreach.subsetting.incremental_placement import Placer
from brookreach.subsetting.settings import Settings


@dataclass(slots=True)
class Held:
    """One service here. Neither `serving` nor `whole`: its rows are on their way."""

    serving: bool = False  # takes RPCs
    whole: bool = False  # its rows are whole, in this session
    draining: bool = False
    since: int = 0  # the version from which on its placement is the present one, as far as is known
    answered: set[str] = field(default_factory=set)
    asked_ms: int | None = None


class ScopeState:
    """Every method takes `now_ms` by this marshal's own clock where time matters, and gives effects in order."""

    def __init__(self, name: str, settings: Settings):
        self._name, self._settings = name, settings
        self._placer = Placer(settings)
        self._holders: dict[str, tuple[str, ...]] = {}
        self._held: dict[str, Held] = {}
        self._session = 0
        self._lease_until_ms = 0
        self.view = View()

    @property
    def serving(self) -> set[str]:
        """Services whose RPCs are taken."""
        return {service for service, held in self._held.items() if held.serving}

    @property
    def held(self) -> set[str]:
        """Services whose rows are held or on their way."""
        return set(self._held)

    def holders(self, service: str) -> tuple[str, ...]:
        """Where an RPC of this service is to go, as this marshal knows."""
        return self._holders.get(service, ())

    # --- lease ---

    def leased(self, session: int, until_ms: int) -> list[Effect]:
        """The lease begins or goes on. In another session what is held serves on, and is loaded anew."""
        self._lease_until_ms = until_ms
        if session == self._session:
            return []
        self._session = session
        effects: list[Effect] = []
        for service in sorted(self._held):
            held = self._held[service]
            held.whole = False
            held.answered.clear()
            if not held.draining:
                effects.append(Load(service))
        return effects

    def _leased(self, now_ms: int) -> bool:
        return now_ms < self._lease_until_ms

    # --- views ---

    def heard_version(self, version: int) -> list[Effect]:
        """What the latest one is; asked for where this marshal is behind."""
        return [AskWhole(self.view.version)] if version > self.view.version else []

    def heard_whole(self, view: View, now_ms: int) -> list[Effect]:
        """Versions between may have been missed, so answers of before don't count."""
        if view.version <= self.view.version:
            return []
        return self._take(view, now_ms, missed=True)

    def heard_change(self, change: ViewChange, now_ms: int) -> list[Effect]:
        """Old ones are left out; after a gap the whole is asked for and the last good view stands."""
        if change.version <= self.view.version:
            return []
        if not follows(self.view, change):
            return [AskWhole(self.view.version)]
        return self._take(changed(self.view, change), now_ms, missed=False)

    def _take(self, view: View, now_ms: int, missed: bool) -> list[Effect]:
        before, self.view = self._holders, view
        self._holders = dict(self._placer.take(view).holders)
        effects: list[Effect] = []
        for service, names in self._holders.items():
            if self._name in names:
                effects += self._hold(service)
        for service, held in self._held.items():
            if missed or before.get(service) != self._holders.get(service):
                held.since, held.asked_ms = view.version, None
                held.answered.clear()
        return effects + self.tick(now_ms)

    def _hold(self, service: str) -> list[Effect]:
        held = self._held.get(service)
        if held is None:
            self._held[service] = Held(since=self.view.version)
            return [Load(service)]
        if not held.draining:
            return []
        held.draining, held.serving = False, held.whole
        return [] if held.whole else [Load(service)]

    # --- rows and RPCs ---

    def loaded(self, service: str) -> list[Effect]:
        """Its rows are whole."""
        held = self._held.get(service)
        if held is not None:
            held.whole = True
            held.serving = not held.draining
        return []

    def idle(self, service: str) -> list[Effect]:
        """The last RPC of a draining service ended."""
        held = self._held.get(service)
        if held is None or not held.draining:
            return []
        del self._held[service]
        return [Drop(service)]

    # --- make before break ---

    def asked(self, question: Question, now_ms: int) -> list[Effect]:
        """Answers only what is true by its own lease, and at a version not before the question's."""
        held = self._held.get(question.service)
        if held is None or not held.serving or not held.whole:
            return []
        if not self._leased(now_ms) or self.view.version < question.version:
            return []
        return [Answer(self._name, question.sender, question.service, self.view.version, self._session)]

    def answered(self, answer: Answer, now_ms: int) -> list[Effect]:
        held = self._held.get(answer.service)
        if held is not None and counts(answer, held.since, self._session_of(answer.sender)):
            held.answered.add(answer.sender)
        return self.tick(now_ms)

    def _session_of(self, name: str) -> int:
        marshal = self.view.marshal(name)
        return marshal.session if marshal else 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Lets go of what may be let go of, and asks those who have not answered. Often enough: `times.ask_ms`."""
        if not self._leased(now_ms):
            return []
        effects: list[Effect] = []
        for service in sorted(self._held):
            held = self._held[service]
            if not held.draining and self._name not in self._holders.get(service, ()):
                effects += self._let_go(service, held, now_ms)
        return effects

    def _let_go(self, service: str, held: Held, now_ms: int) -> list[Effect]:
        names = self._holders.get(service)
        if names is None or (not held.serving and not held.whole):
            return self._drain(service, held)  # no longer configured, or nobody was ever told that it is held
        if not names:
            return []
        missing = [name for name in names if name not in held.answered]
        if may_drain(missing):
            return self._drain(service, held)
        if held.asked_ms is not None and now_ms - held.asked_ms < self._settings.times.ask_ms:
            return []
        held.asked_ms = now_ms
        return [Question(self._name, name, service, held.since) for name in missing]

    def _drain(self, service: str, held: Held) -> list[Effect]:
        if not held.serving:
            del self._held[service]
            return [Drop(service)]
        held.draining, held.serving = True, False
        return [Drain(service)]


def counts(answer: Answer, version: int, session: int) -> bool:
    """Whether it is of this version or later, and of no earlier life of its sender."""
    return answer.version >= version and answer.session >= session


def may_drain(missing: list[str]) -> bool:
    """All holders have answered."""
    return not missing
