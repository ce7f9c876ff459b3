"""All decisions of a marshal, and nothing else.

One `Balancer` is one life of an instance. Call `begin(now)` once, then `handle(now, event)` for each event of
`brookreach.interface` as it comes; both return the actions to do, in order. `now` (ms) is the only clock.

Inside, `TrackedNode`, `RequestRouter`, which places RPCs, and `CanaryAnalysis` of builds are actors. They talk
only by notes put into inboxes, which the one loop in `Balancer` empties in their order.
"""

from collections import deque

from brookreach.interface import (
    Action,
    BalancerSettings,
    DeadlineShortened,
    Event,
    NodeList,
    Outcome,
    OutcomeCounts,
    PickEnded,
    RolloutStatus,
    RpcCancelled,
    RpcReceived,
    SetTimer,
    TimerFired,
)
from brookreach.policy.actor import WorkQueue
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import EVALUATION_INTERVAL_MS
from brookreach.policy.request_router import RequestRouter
from brookreach.policy.timer_tokens import EVALUATION_TIMER

ROUTER_MESSAGES = {
    RpcReceived: "taken_in",
    DeadlineShortened: "shortened",
    RpcCancelled: "gone",
    PickEnded: "ended",
    NodeList: "listing",
}


class Balancer:
    def __init__(self, start: BalancerSettings):
        self.start, self.acts = start, list[Action]()
        self.due: WorkQueue = deque()

    def begin(self, now: float) -> list[Action]:
        self.canary_analysis = CanaryAnalysis(self.due, self.acts, self.start)
        self.request_router = RequestRouter(self.due, self.acts, self.start, now, self.canary_analysis)
        self.acts.append(SetTimer(EVALUATION_INTERVAL_MS, EVALUATION_TIMER))
        return self.flush()

    def flush(self) -> list[Action]:
        while self.due:
            part = self.due.popleft()
            note, args = part.inbox.popleft()
            getattr(part, note)(*args)
        out, self.acts[:] = self.acts[:], []
        return out

    def handle(self, now: float, event: Event) -> list[Action]:
        match event:
            case RpcReceived() | DeadlineShortened() | RpcCancelled() | PickEnded() | NodeList():
                self.request_router.send(ROUTER_MESSAGES[type(event)], now, event)
            case TimerFired(token=token):
                self.request_router.send(
                    "beat" if token % 4 == EVALUATION_TIMER else "rang", now, token // 4, token % 4
                )
            case OutcomeCounts():
                self.canary_analysis.send("record_counts", now, event)
            case RolloutStatus():
                if event.reply:
                    self.canary_analysis.send("handle_vote_reply", now, event.ending)
                if event.ending == Outcome.OK:
                    self.request_router.send("told", now, event)
                    self.canary_analysis.send("update_rollout", now, event)
        return self.flush()
