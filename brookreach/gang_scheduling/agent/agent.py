"""A node's agent without I/O: orders and the node's own events in; acts on the node, answers, reports out.

It owns the fence at the node: for each member the highest fence heard of, below which nothing is ever
started again, and at most one incarnation that lives. Everything that works does so by a grant that ends
with the lease of the agent's session, by the node's own clock: an agent that was stopped can't prolong it,
and what it had started stops by itself. It must never start anything without a lease, nor before the last
one has ended, nor say of anything that it stopped before the node said so.
"""

from __future__ import annotations

from collections import OrderedDict

from brookreach.gang_scheduling.agent.actions import MemberProcess, MemberSlot, NodeAction, TaskReply
from brookreach.gang_scheduling.agent_tasks import AgentTask
from brookreach.gang_scheduling.commands import (
    Commands,
    ConfirmCheckpoint,
    RegisterAgent,
    ReportFailed,
    ReportStarted,
    ReportStopped,
)

MOST_TOKENS, MOST_SLOTS = 4096, 4096


class GangAgent:
    """`quiet_ms`: from its own start on it answers nothing and takes nothing for so long, so that whatever an
    earlier process of it had started has run out of its grant (a lease by this clock).
    """

    def __init__(self, node: str, life: int, now: float, quiet_ms: float):
        self.node, self.life, self.quiet_until = node, life, now + quiet_ms
        self.session, self.until, self.holding = 0, 0.0, False
        self.owed: list[tuple[MemberSlot, int]] = []  # ended while no lease was held: told if the session goes on
        self.live: dict[MemberSlot, MemberProcess] = {}
        self.fences: OrderedDict[MemberSlot, int] = OrderedDict()  # the highest heard of
        self.floor = 0  # of slots forgotten: nothing unknown starts at or below it
        self.next: dict[MemberSlot, tuple[AgentTask, str]] = {}  # to start once the older incarnation is gone
        self.answered: OrderedDict[str, TaskReply] = OrderedDict()
        self.acts: list[NodeAction] = []
        self.answers: list[TaskReply] = []
        self.reports: list[Commands] = []

    # --- the lease ---

    def lease(self, now: float, session: int, until: float) -> None:
        """Renewed, by its client: nothing is to work past `until` of this clock. Another session begins
        anew.
        """
        self.passed(now)
        if session != self.session:
            self.ended(now)
            self.session = session
        self.until = max(self.until, until)
        self.holding = now < self.until
        if self.holding:
            self.reports += [ReportFailed(*slot, fence, "its lease ran out") for slot, fence in self.owed]
            self.owed = []
        if self.live:
            self.acts.append(NodeAction("grant", until=self.until))

    def ended(self, now: float) -> None:
        """The session is over: nobody counts on what it had any more."""
        self._drop_all()
        self.session, self.until, self.holding, self.owed = 0, 0.0, False, []

    def passed(self, now: float) -> None:
        """First of all whenever it wakes: has the lease run out meanwhile? The group may not have ended the
        session, and a late renewal go on with it: then what has been stopped is told.
        """
        if self.holding and now >= self.until:
            self.holding = False
            self._drop_all()

    def may_speak(self, now: float) -> bool:
        """Quiet is over and nothing of an earlier session lives: `Here` may be said."""
        return now >= self.quiet_until and self.holding and not self.live

    def here(self) -> RegisterAgent:
        return RegisterAgent(self.life)

    def _drop_all(self) -> None:
        self.owed += [(slot, errand.fence) for slot, (errand, _) in sorted(self.next.items())]
        self.next.clear()
        for slot, one in sorted(self.live.items()):
            self._kill(slot, one)

    def _kill(self, slot: MemberSlot, one: MemberProcess) -> None:
        if one.state != "dying":
            one.state = "dying"
            self.acts.append(NodeAction("kill", slot, one.fence))

    # --- orders ---

    def hear(self, now: float, errand: AgentTask) -> None:
        self.passed(now)
        token = errand.token
        slot = errand.gang, errand.member
        if token in self.answered:
            self.answers.append(self.answered[token])
            self._again(slot, errand)
            return
        if not self.holding or errand.session != self.session or errand.life != self.life:
            self._not_now(token, f"session {errand.session} life {errand.life}; not mine")
        elif errand.kind == "start":
            self._start(slot, errand, token)
        elif errand.kind == "stop":
            self._stop(slot, errand, token)
        else:
            self._work(slot, errand, token)

    def _start(self, slot: MemberSlot, errand: AgentTask, token: str) -> None:
        one, known = self.live.get(slot), self.fences.get(slot, self.floor)
        waits = self.next.get(slot)
        if waits is not None and waits[1] == token:
            return
        if one is not None and one.fence == errand.fence and one.state == "loading":
            one.wait(token)
            return
        if errand.fence <= known:
            self._final(token, False, f"fence {errand.fence}; {known} was heard of")
            return
        self._note(slot, errand.fence)
        if waits is not None:
            self._final(waits[1], False, f"fence {errand.fence} came before it was started")
        self.next[slot] = errand, token
        if one is None:
            self._begin(slot)
        else:
            self._kill(slot, one)

    def _begin(self, slot: MemberSlot) -> None:
        errand, token = self.next.pop(slot)
        self.live[slot] = MemberProcess(errand.fence, "loading", errand.epoch, [token])
        self.acts.append(NodeAction("run", slot, errand.fence, errand.epoch, self.until))

    def _stop(self, slot: MemberSlot, errand: AgentTask, token: str) -> None:
        self._note(slot, errand.fence)
        waits = self.next.get(slot)
        if waits is not None and waits[0].fence <= errand.fence:
            del self.next[slot]
            self._final(waits[1], False, f"stopped by fence {errand.fence}")
        one = self.live.get(slot)
        if one is None or one.fence > errand.fence:
            self._stopped(slot, errand.fence, [token])
            return
        one.wait(token)
        self._kill(slot, one)

    def _work(self, slot: MemberSlot, errand: AgentTask, token: str) -> None:
        """`go` and `save`: to the incarnation of this very fence, and never back to an older epoch."""
        one = self.live.get(slot)
        if one is None or one.fence != errand.fence or one.state == "dying":
            self._final(token, False, f"fence {errand.fence} does not work here")
            if one is None or one.fence != errand.fence:
                self._again(slot, errand)
        elif one.state == "loading":
            self._not_now(token, "still loading")
        elif errand.kind == "go":
            if errand.epoch < one.epoch:
                self._final(token, False, f"epoch {errand.epoch}; {one.epoch} was asked for since")
                return
            self._answer(one, False, "given up")
            one.epoch, one.state = errand.epoch, "working"
            self.acts.append(NodeAction("go", slot, one.fence, errand.epoch))
            self._final(token, True, "works")
        elif errand.epoch <= one.epoch:
            if one.state == "saving" and errand.epoch == one.epoch:
                one.wait(token)
            else:
                self._final(token, False, f"epoch {errand.epoch}; {one.epoch} was heard of")
        else:
            one.epoch, one.state, one.waiting = errand.epoch, "saving", [token]
            self.acts.append(NodeAction("save", slot, one.fence, errand.epoch))

    # --- what the node says of its incarnations ---

    def loaded(self, now: float, slot: MemberSlot, fence: int) -> None:
        one = self.live.get(slot)
        if one is not None and one.fence == fence and one.state == "loading":
            one.state = "ready"
            self.reports.append(ReportStarted(slot[0], slot[1], fence))
            self._answer(one, True, "loaded")

    def saved(self, now: float, slot: MemberSlot, fence: int, epoch: int, work_ms: int) -> None:
        one = self.live.get(slot)
        if one is not None and (one.fence, one.epoch, one.state) == (fence, epoch, "saving"):
            one.state, one.work_ms = "saved", work_ms
            self.reports.append(ConfirmCheckpoint(slot[0], slot[1], epoch, self.node, self.life, fence, work_ms))
            self._answer(one, True, f"epoch {epoch}, work {work_ms}")

    def gone(self, now: float, slot: MemberSlot, fence: int, reason: str) -> None:
        """It has ended, by a kill or by itself: only now may anybody hear that it did."""
        one = self.live.get(slot)
        if one is None or one.fence != fence:
            return
        del self.live[slot]
        if not self.holding:
            self.owed.append((slot, fence))
        elif one.state != "dying":
            self.reports.append(ReportFailed(slot[0], slot[1], fence, reason[:400]))
            self._answer(one, False, reason)
        else:
            self._stopped(slot, fence, [token for token in one.waiting if token.startswith("stop.")])
            self._answer(one, False, "stopped")
        if slot in self.next:
            self._begin(slot)

    def _stopped(self, slot: MemberSlot, fence: int, tokens: list[str]) -> None:
        """Said of every fence up to this one, which can't be started here any more."""
        self.reports.append(ReportStopped(slot[0], slot[1], fence))
        for token in tokens:
            self._final(token, True, f"stopped up to fence {fence}")

    def _again(self, slot: MemberSlot, errand: AgentTask) -> None:
        """An order that still stands though it was carried out: what was told of it has not been taken."""
        one, fence = self.live.get(slot), errand.fence
        if errand.kind == "stop" and (one is None or one.fence > fence):
            self.reports.append(ReportStopped(slot[0], slot[1], fence))
        if one is None or one.fence != fence:
            if errand.kind != "stop":
                self._note(slot, fence)  # nor is it ever started now
                self.reports.append(ReportFailed(slot[0], slot[1], fence, "it does not work here any more"))
            return
        if errand.kind == "start" and one.state in ("ready", "working"):
            self.reports.append(ReportStarted(slot[0], slot[1], fence))
        elif errand.kind == "save" and one.state == "saved" and one.epoch == errand.epoch:
            told = ConfirmCheckpoint(slot[0], slot[1], one.epoch, self.node, self.life, fence, one.work_ms)
            self.reports.append(told)

    def _not_now(self, token: str, text: str) -> None:
        """Not kept: it is asked again, or under another token."""
        self.answers.append(TaskReply(token, False, text, final=False))

    def _answer(self, one: MemberProcess, ok: bool, text: str) -> None:
        for token in one.waiting:
            if token not in self.answered:
                self._final(token, ok, text)
        one.waiting = []

    def _final(self, token: str, ok: bool, text: str) -> None:
        answer = TaskReply(token, ok, text)
        self.answered[token] = answer
        self.answers.append(answer)
        while len(self.answered) > MOST_TOKENS:
            self.answered.popitem(last=False)

    def _note(self, slot: MemberSlot, fence: int) -> None:
        self.fences[slot] = max(fence, self.fences.get(slot, 0))
        self.fences.move_to_end(slot)
        while len(self.fences) > MOST_SLOTS:
            other, last = next(((s, f) for s, f in self.fences.items() if s not in self.live), (slot, fence))
            del self.fences[other]
            self.floor = max(self.floor, last)
