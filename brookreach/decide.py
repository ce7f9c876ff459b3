"""All decisions of a marshal, and nothing else.

One `Marshal` is one life of an instance. Call `begin(now)` once, then `handle(now, event)` for each event of
`brookreach.interface` as it comes; both return the actions to do, in order. `now` (ms) is the only clock.

Inside, `Node`, `Desk`, which places RPCs, and `Judge` of builds are actors. They talk only by notes put into
inboxes, which the one loop in `Marshal` empties in their order.
"""

from collections import deque

from brookreach.charts import BEAT_MS
from brookreach.desk import BEAT, Desk
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
from brookreach.judge import Judge
from brookreach.parts import Due  # read here by others, as is the next
from brookreach.parts import Ring as Ring
from brookreach.roster import COLD_PART as COLD_PART

NOTES = {
    RpcReceived: "taken_in",
    DeadlineShortened: "shortened",
    RpcCancelled: "gone",
    PickEnded: "ended",
    NodeList: "listing",
}


class Marshal:
    def __init__(self, start: BalancerSettings):
        self.start, self.acts = start, list[Action]()
        self.due: Due = deque()

    def begin(self, now: float) -> list[Action]:
        self.judge = Judge(self.due, self.acts, self.start)
        self.desk = Desk(self.due, self.acts, self.start, now, self.judge)
        self.acts.append(SetTimer(BEAT_MS, BEAT))
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
                self.desk.tell(NOTES[type(event)], now, event)
            case TimerFired(token=token):
                self.desk.tell("beat" if token % 4 == BEAT else "rang", now, token // 4, token % 4)
            case OutcomeCounts():
                self.judge.tell("tally", now, event)
            case RolloutStatus():
                if event.reply:
                    self.judge.tell("reply", now, event.ending)
                if event.ending == Outcome.OK:
                    self.desk.tell("told", now, event)
                    self.judge.tell("told", now, event)
        return self.flush()
