"""One balancer under a virtual clock, with its decisions as a readable trace that is compared with a stored one."""

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


def balancer_settings(
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


def describe(action):
    """Returns an action as a short line, or None for a timer."""
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


class BalancerHarness:
    """Feeds events to one balancer.

    Attributes:
        trace: A line for each action, with the time (ms) since the start.
        picks: By RPC: the node of each pick, and when it was sent (ms).
    """

    def __init__(self, settings=None, at=10_000.0):
        self.now = at
        self.ids = itertools.count(1)
        self.trace = []
        self.picks = {}
        self.balancer = Balancer(settings or balancer_settings())
        self.timers = []
        self._note(self.balancer.begin(at))

    def _note(self, actions):
        for action in actions:
            if isinstance(action, ifc.SetTimer):
                self.timers.append((self.now + action.delay_ms, len(self.timers), action.token))
            elif isinstance(action, ifc.Pick):
                self.picks.setdefault(action.rpc_id, []).append([action.node, self.now])
            text = describe(action)
            if text:
                self.trace.append(f"{self.now - 10_000.0:7.0f} {text}")
        return actions

    def remark(self, text):
        """Adds a line for the reader to the trace."""
        self.trace.append(f"        -- {text}")

    def handle(self, event):
        return self._note(self.balancer.handle(self.now, event))

    def advance(self, ms):
        """Moves the clock, firing the timers that come due."""
        until = self.now + ms
        while self.timers and min(self.timers)[0] <= until:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.handle(ifc.TimerFired(timer[2]))
        self.now = until

    def update_nodes(self, *entries, kind=ifc.ListKind.FULL):
        self.handle(ifc.NodeList(kind, 1, entries))

    def set_rollout(self, build, stage, cap, phase=ifc.RolloutPhase.ON_TRIAL, reply=False, ending=ifc.Outcome.OK):
        self.handle(ifc.RolloutStatus(reply, ending, stage, cap, phase, 0.0, build))

    def receive_rpc(self, method=0, wait=3000.0, key=0):
        number = next(self.ids)
        self.handle(ifc.RpcReceived(number, method, 0, key, self.now + wait, None, False, False))
        return number

    def end_pick(self, rpc, ending=ifc.Outcome.OK, took=100.0, nth=None):
        nth = len(self.picks[rpc]) - 1 if nth is None else nth
        self.handle(ifc.PickEnded(rpc, nth, self.picks[rpc][nth][0], ending, ending == ifc.Outcome.OK, took, {}))

    def run_rpcs(self, count, fails=lambda node: False, gap=20.0, method=0):
        """Sends `count` RPCs, each of whose picks ends at once; picks are left out of the trace."""
        for _ in range(count):
            self.advance(gap)
            rpc = self.receive_rpc(method)
            while rpc in self.picks and self.picks[rpc][-1][1] is not None:
                self.picks[rpc][-1][1] = None
                bad = fails(self.picks[rpc][-1][0])
                self.end_pick(rpc, ifc.Outcome.ERROR if bad else ifc.Outcome.OK)
        self.trace = [text for text in self.trace if " pick " not in text]


class TraceCase(unittest.TestCase):
    def compare(self, name, trace):
        """Fails with a diff where the trace differs from the stored one."""
        stored = (KEPT / f"{name}.txt").read_text().splitlines()
        if stored != trace:
            self.fail("\n".join(difflib.unified_diff(stored, trace, f"kept/{name}.txt", "now", lineterm="")))
