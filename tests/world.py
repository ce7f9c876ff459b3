"""A marshal in a small world, and its decisions as a trace that people read."""

import difflib
import itertools
import unittest
from pathlib import Path

from brookreach import interface as ifc
from brookreach.policy.balancer import Balancer

KEPT = Path(__file__).parent / "kept"
IDEM, TOKEN, ONCE = ifc.Idempotency.IDEMPOTENT, ifc.Idempotency.TOKENED, ifc.Idempotency.NON_IDEMPOTENT


def method(repeat=IDEM, group=ifc.DedupScope.ALL, name="read"):
    return ifc.Method(name, repeat, group, 2000.0, 1000.0, 3000.0, 1.0, 0.0, 0.0, False)


READS = (method(),)


def start(
    methods=READS,
    marshals=1,
    caps=(0.1, 0.5, 1.0),
    free=2.0,
    by_method=False,
    closed=0,
    one_way=False,
    gate=ifc.PromotionGate.ANY,
    max_picks=3,
    copies=False,
    seed=7,
    tally=0.0,
):
    return ifc.BalancerSettings(
        seed,
        ifc.FleetPosition(0, 0, marshals),
        tuple(methods),
        (),
        1.0,
        ifc.AllowedActions(True, False, copies, False, True, 1000.0, max_picks, 1000, False),
        ifc.SafetyLimits(20.0, 1e4, 0.3, 4000.0, 250.0, 3.0, 2000.0),
        ifc.Exposure(4000.0, free, caps, by_method, closed, one_way),
        ifc.Voting(gate, 1, 1, 1, 6000.0, 1000.0, 20.0, 2000.0, 3000.0),
        ifc.RolloutSettings((0.1, 0.5, 1.0), False, 4000.0, tally, 0.2, 0.0, False),
        ifc.Prices(0.0, 0.05, 0.0, 0.05, 0.4, 5.0),
        (),
        5.0,
    )


def node(number, build=1, state=ifc.NodeState.READY, started=0.0, zone=0, cell=0):
    return ifc.NodeEntry(number, state, started, build, zone, cell, 0, 4.0)


def line(action):
    """One action as a short line; timers are left out."""
    match action:
        case ifc.Pick():
            return f"pick {action.rpc_id} -> {action.node}"
        case ifc.PushBack():
            return f"push back {action.rpc_id}"
        case ifc.Abort():
            return f"abort {action.rpc_id}"
        case ifc.Vote():
            return f"vote {action.verdict.name} build {action.build} stage {action.stage}"
        case ifc.LogLine():
            return f"log: {action.text}"
        case _:
            return None


class World:
    """Feeds one marshal; every decision lands in `trace`, with the time it was taken."""

    def __init__(self, begin=None, at=10_000.0):
        self.now, self.ids, self.trace, self.open = at, itertools.count(1), [], {}
        self.marshal = Balancer(begin or start())
        self.timers = []
        self._note(self.marshal.begin(at))

    def _note(self, actions):
        for action in actions:
            if isinstance(action, ifc.SetTimer):
                self.timers.append((self.now + action.delay_ms, len(self.timers), action.token))
            elif isinstance(action, ifc.Pick):
                self.open.setdefault(action.rpc_id, []).append([action.node, self.now])
            text = line(action)
            if text:
                self.trace.append(f"{self.now - 10_000.0:7.0f} {text}")
        return actions

    def say(self, text):
        self.trace.append(f"        -- {text}")

    def event(self, event):
        return self._note(self.marshal.handle(self.now, event))

    def wait(self, ms):
        until = self.now + ms
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.event(ifc.TimerFired(timer[2]))
        self.now = until

    def nodes(self, *entries, kind=ifc.ListKind.FULL):
        self.event(ifc.NodeList(kind, 1, entries))

    def news(self, build, stage, cap, phase=ifc.RolloutPhase.ON_TRIAL, reply=False, ending=ifc.Outcome.OK):
        self.event(ifc.RolloutStatus(reply, ending, stage, cap, phase, 0.0, build))

    def rpc(self, method=0, wait=3000.0, key=0):
        number = next(self.ids)
        self.event(ifc.RpcReceived(number, method, 0, key, self.now + wait, None, False, False))
        return number

    def end(self, rpc, ending=ifc.Outcome.OK, took=100.0, nth=None):
        nth = len(self.open[rpc]) - 1 if nth is None else nth
        self.event(ifc.PickEnded(rpc, nth, self.open[rpc][nth][0], ending, ending == ifc.Outcome.OK, took, {}))

    def quietly(self, count, fails=lambda node: False, gap=20.0, method=0):
        """So many RPCs, each ended at once; only what is not a pick stays in the trace."""
        for _ in range(count):
            self.wait(gap)
            rpc = self.rpc(method)
            while rpc in self.open and self.open[rpc][-1][1] is not None:
                self.open[rpc][-1][1] = None
                bad = fails(self.open[rpc][-1][0])
                self.end(rpc, ifc.Outcome.ERROR if bad else ifc.Outcome.OK)
        self.trace = [text for text in self.trace if " pick " not in text]


class TraceCase(unittest.TestCase):
    def compare(self, name, trace):
        kept = (KEPT / f"{name}.txt").read_text().splitlines()
        if kept != trace:
            self.fail("\n".join(difflib.unified_diff(kept, trace, f"kept/{name}.txt", "now", lineterm="")))
