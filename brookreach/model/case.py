"""What a wave of the model is made of: sizes, the build on trial, troubles. Times in ms, rates a second."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from brookreach import interface as ifc

WORK_MS = 170.0


@dataclass(frozen=True)
class Fault:
    """How a build differs from the earlier one; `errors` and `work` by method, "" for all of them."""

    errors: Mapping[str, float] = field(default_factory=dict)
    work: Mapping[str, float] = field(default_factory=dict)
    from_ms: float = 0.0  # after the offer: a build that goes bad later

    def errs(self, method: str, since_offer: float) -> float:
        return 0.0 if since_offer < self.from_ms else self.errors.get(method, self.errors.get("", 0.0))

    def takes(self, method: str, since_offer: float) -> float:
        return 1.0 if since_offer < self.from_ms else self.work.get(method, self.work.get("", 1.0))


@dataclass(frozen=True)
class Trouble:
    """What befalls nodes or traffic, whatever build they run. `places`: so many nodes, 0 for all."""

    kind: str  # crawl, err, burst, stall (of the platform), restart (of marshals)
    size: float
    from_ms: float = -math.inf  # after the offer
    until_ms: float = math.inf
    places: int = 0
    old_only: bool = False
    trial: bool = False  # strikes the places that the first stages take, else any

    def on(self, since_offer: float) -> bool:
        return self.from_ms <= since_offer < self.until_ms


@dataclass(frozen=True)
class Case:
    """One kind of wave. `busy` sets the nodes' size: the share of their cores that the traffic asks for."""

    name: str = "good"
    fault: Fault = Fault()
    troubles: tuple[Trouble, ...] = ()
    marshals: int = 3
    rate: float = 40.0  # RPCs a second and marshal
    nodes: int = 12
    cores: int = 4
    busy: float = 0.4
    shares: tuple[float, ...] = (1 / 3, 1 / 3, 1 / 3)  # of the methods
    base_errors: float = 0.0005
    work_cv: float = 0.6
    cold: float = 0.5
    cold_ms: float = 3000.0
    stages: tuple[float, ...] = (0.05, 0.15, 0.4, 1.0)
    gate: ifc.PromotionGate = ifc.PromotionGate.ANY
    on_votes: int = 1
    back_votes: int = 1
    tally_ms: float = 2000.0
    tally_sample: float = 0.4
    tally_loss: float = 0.0
    before_ms: float = 15_000.0  # of the earlier build alone
    after_ms: float = 0.0  # goes on after the release
    most_ms: float = 60_000.0  # from the offer
    next_ms: float = math.inf  # when the next build, a good one, is offered; the build on trial is taken off
    false_alarm: float = 0.05
    miss: float = 0.05

    @property
    def bad(self) -> bool:
        return bool(self.fault.errors or self.fault.work) and max(self.fault.work.values(), default=2.0) > 1.3

    @property
    def node_size(self) -> float:
        """Work a node can do at once when warm, in cores, so that the traffic asks for `busy` of all."""
        return self.marshals * self.rate * WORK_MS / 1000.0 / (self.nodes * self.cores * self.busy)

    def named(self, name: str, **other: object) -> Case:
        return replace(self, name=name, **other)  # type: ignore[arg-type]


REPEATS = (ifc.Idempotency.IDEMPOTENT, ifc.Idempotency.IDEMPOTENT, ifc.Idempotency.NON_IDEMPOTENT)
NAMES = ("posti", "scheda", "immatricola")


def start_of(case: Case, ordinal: int, seed: int) -> ifc.BalancerSettings:
    """What the marshal `ordinal` of the wave is told at its start."""
    methods = tuple(
        ifc.Method(
            NAMES[i % 3] + ("" if i < 3 else str(i)),
            REPEATS[i % 3],
            ifc.DedupScope.ALL,
            5000.0,
            1000.0,
            3000.0,
            1.0,
            0.0,
            0.0,
            False,
        )
        for i in range(len(case.shares))
    )
    caps = tuple(min(1.0, 1.4 * share) for share in case.stages)
    return ifc.BalancerSettings(
        seed=seed,
        place=ifc.FleetPosition(0, ordinal, case.marshals),
        methods=methods,
        tenants=(),
        over_share_utility=1.0,
        permits=ifc.AllowedActions(True, False, False, False, True, 2000.0, 4, 20_000, False),
        guards=ifc.SafetyLimits(20.0, 1e4, case.cold, case.cold_ms, 250.0, 2.5, 2000.0),
        exposure=ifc.Exposure(4000.0, 3.0, caps, False, 0, False),
        voting=ifc.Voting(
            case.gate, case.on_votes, case.back_votes, 1, 6000.0, 2000.0, 15.0 + case.marshals, 1500.0, 3000.0
        ),
        rollout=ifc.RolloutSettings(case.stages, True, 4000.0, case.tally_ms, case.tally_sample, 0.0, False),
        prices=ifc.Prices(0.0, 0.05, 0.0, 0.05, 0.45, 5.0),
        reports=(),
        tick_ms=5.0,
        stated=ifc.ErrorRateTargets(case.false_alarm, case.miss),
    )


def _errs(size: float, *methods: str) -> Fault:
    return Fault(errors=dict.fromkeys(methods or ("",), size))


def _works(size: float) -> Fault:
    return Fault(work={"": size})


CRAWL = Trouble("crawl", 8.0, places=1, old_only=True)
GOOD = {
    "good": Case(),
    "good-uneven": Case(troubles=(Trouble("crawl", 1.4, places=4),)),
    "good-all-err-10": Case(troubles=(Trouble("err", 0.10, from_ms=0.0),)),
    "good-crawler": Case(troubles=(CRAWL,)),
    "good-work-1.1": Case(fault=_works(1.1)),
    "good-better": Case(fault=_works(0.85)),
    "good-two-err": Case(busy=0.7, troubles=(Trouble("err", 0.5, places=2, old_only=True),)),
    "good-burst": Case(busy=0.7, troubles=(Trouble("burst", 1.5, from_ms=4000.0, until_ms=10_000.0),)),
    "good-one-trial-node-errs": Case(
        troubles=(Trouble("err", 0.5, from_ms=0.0, until_ms=20_000.0, places=1, trial=True),)
    ),
    "good-restarts": Case(troubles=(Trouble("restart", 0.4, from_ms=6000.0, until_ms=6001.0),)),
    "good-stall": Case(troubles=(Trouble("stall", 1.0, from_ms=4000.0, until_ms=12_000.0),)),
    **{f"good-busy-{b}": Case(busy=b) for b in (0.3, 0.5, 0.6, 0.7, 0.75, 0.8, 0.9)},
}
BAD = {
    "all+8": Case(fault=_errs(0.08)),
    "all+20": Case(fault=_errs(0.20)),
    "scheda+15": Case(fault=_errs(0.15, "scheda")),
    "scheda+36": Case(fault=_errs(0.36, "scheda")),
    "work-1.6": Case(fault=_works(1.6)),
    "work-1.6-crawler": Case(fault=_works(1.6), troubles=(CRAWL,)),
    "work-2.5": Case(fault=_works(2.5)),
    "work-1.6-busy-0.5": Case(fault=_works(1.6), busy=0.5),
    "scheda+15-busy-0.7": Case(fault=_errs(0.15, "scheda"), busy=0.7),
    "all+20-restarts": Case(fault=_errs(0.20), troubles=(Trouble("restart", 0.4, from_ms=6000.0, until_ms=6001.0),)),
    "all+20-stall": Case(fault=_errs(0.20), troubles=(Trouble("stall", 1.0, from_ms=4000.0, until_ms=12_000.0),)),
    "rare+36": Case(fault=_errs(0.36, "immatricola"), shares=(0.495, 0.495, 0.01)),
    "all+20-tallies-lost": Case(fault=_errs(0.20), tally_loss=0.5),
    "late-all+20": Case(fault=Fault(errors={"": 0.20}, from_ms=25_000.0), after_ms=30_000.0),
}
MANY = {
    **{
        f"{name}-m{m}": replace(base, marshals=m, rate=r, nodes=n)
        for m, r, n in ((30, 10.0, 30), (300, 2.0, 60))
        for name, base in (
            ("good", Case()),
            ("all+20", Case(fault=_errs(0.20))),
            ("scheda+36", Case(fault=_errs(0.36, "scheda"))),
            ("work-2.5", Case(fault=_works(2.5))),
            ("good-busy-0.8", Case(busy=0.8)),
        )
    },
}
CASES: dict[str, Case] = {name: case.named(name) for name, case in (GOOD | BAD | MANY).items()}
