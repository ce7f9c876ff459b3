"""All decisions of a balancer, and nothing else.

One `Balancer` is one life of a process. Call `begin(now)` once, then `handle(now, event)` for each event of
`brookreach.interface` as it comes; both return the actions to carry out, in order. `now` (ms) is the only clock.

Inside, `TrackedNode`, `RequestRouter` and `CanaryAnalysis` are actors. They reach each other only by messages put into
inboxes, which the one loop in `Balancer` delivers in the order of sending.
"""

from collections import deque
from typing import Final

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
from brookreach.policy.timer_tokens import EVALUATION_TIMER, TIMER_KINDS

ROUTER_MESSAGES: Final = {
    RpcReceived: "receive_rpc",
    DeadlineShortened: "shorten_deadline",
    RpcCancelled: "cancel_rpc",
    PickEnded: "record_outcome",
    NodeList: "update_node_list",
}
"""The messages that tell the router of events."""


class Balancer:
    """Takes events and returns the actions that its actors decide on."""

    def __init__(self, settings: BalancerSettings):
        self.settings = settings
        self.actions = list[Action]()
        self.work_queue: WorkQueue = deque()

    def begin(self, now: float) -> list[Action]:
        """Starts the actors and the periodic evaluation."""
        self.canary_analysis = CanaryAnalysis(self.work_queue, self.actions, self.settings)
        self.request_router = RequestRouter(self.work_queue, self.actions, self.settings, now, self.canary_analysis)
        self.actions.append(SetTimer(EVALUATION_INTERVAL_MS, EVALUATION_TIMER))
        return self.deliver_messages()

    def deliver_messages(self) -> list[Action]:
        """Delivers all messages, also those that are sent meanwhile, and returns the actions that came of them."""
        while self.work_queue:
            actor = self.work_queue.popleft()
            message, args = actor.inbox.popleft()
            getattr(actor, message)(*args)
        actions = self.actions[:]
        self.actions[:] = []
        return actions

    def needs_timer(self, token: int) -> bool:
        """Returns whether a timer may still have an effect: it is periodic, or its RPC is not done."""
        return token % TIMER_KINDS == EVALUATION_TIMER or self.request_router.is_open(token // TIMER_KINDS)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles one event."""
        match event:
            case RpcReceived() | DeadlineShortened() | RpcCancelled() | PickEnded() | NodeList():
                self.request_router.send(ROUTER_MESSAGES[type(event)], now, event)
            case TimerFired(token=token):
                is_evaluation = token % TIMER_KINDS == EVALUATION_TIMER
                self.request_router.send(
                    "evaluate" if is_evaluation else "handle_timer", now, token // TIMER_KINDS, token % TIMER_KINDS
                )
            case OutcomeCounts():
                self.canary_analysis.send("record_counts", now, event)
            case RolloutStatus():
                if event.reply:
                    self.canary_analysis.send("handle_vote_reply", now, event.ending)
                if event.ending == Outcome.OK:
                    self.request_router.send("update_rollout", now, event)
                    self.canary_analysis.send("update_rollout", now, event)
        return self.deliver_messages()
