"""The one task that owns the module. Others put events into its queue; it keeps timers and hands actions out.

It owns the Balancer, its clock and the table of RPCs that have no final answer, and so sees to it that each
gets exactly one. It must never decide: an answer is the first ok of a node, or what the module said.
"""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable

import anyio.lowlevel

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.answers import ABORTED, Slot, pushed_back
from brookreach.net.clock import Clock as Clock
from brookreach.net.drain import Drain
from brookreach.net.endpoint import ListedNode
from brookreach.net.in_flight import PickResult
from brookreach.net.limits import Limits
from brookreach.net.nodes import NodeConnectionPool
from brookreach.net.open_rpcs import OpenRpc, OpenRpcs
from brookreach.net.poller import Expiring, Poller
from brookreach.net.report import Report
from brookreach.net.statement import BadStatement, Statement
from brookreach.net.timers import Timers
from brookreach.policy.balancer import Balancer


class Driver:
    def __init__(
        self, start: ifc.BalancerSettings, limits: Limits, report: Report, clock: Clock, poller: Poller, drain: Drain
    ) -> None:
        self.start, self.limits, self.report, self.clock = start, limits, report, clock
        self.methods = {method.name.encode(): at for at, method in enumerate(start.methods)}
        self.queue: deque[ifc.Event | PickResult] = deque()
        self.drain, self.timers, self.taken = drain, Timers(), 0
        self.open = OpenRpcs()
        self.news: ifc.RolloutStatus | None = None
        self.poller = poller
        self.waiting: anyio.CancelScope | None = None  # while the task has nothing to do
        self.nodes = NodeConnectionPool(limits, report, poller, self)
        self.vote: Callable[[ifc.Vote], object] = self.put_off
        self.between: Callable[[], bool] | None = None  # called when the queue is empty; whether it has more
        self.watch: Callable[[float, object], None] | None = None  # hears events and actions, where asked for

    def put(self, event: ifc.Event | PickResult) -> None:
        self.queue.append(event)
        if self.waiting is not None:
            self.waiting.cancel()

    def put_off(self, vote: ifc.Vote) -> None:
        """A vote before the platform's part has started: it may be said again."""
        self.put(
            ifc.RolloutStatus(True, ifc.Outcome.NO_CONNECT, vote.stage, 0.0, ifc.RolloutPhase.ON_TRIAL, 0.0, vote.build)
        )

    def spare_links(self) -> int:
        """Connections to nodes that may still be made."""
        return self.limits.links - self.nodes.connection_count

    def alarm(self, delay_ms: float, what: Expiring) -> None:
        self.timers.set(self.clock.now() + delay_ms, what)
        if self.waiting is not None:  # another task set it
            self.waiting.cancel()

    def take(self, statement: Statement, slot: Slot, came_at: float) -> int:
        """Number an RPC and hand it to the module. `came_at`, by the monotonic clock, is the earliest that its
        last byte may have come: the client's wait has run since then. Raises BadStatement."""
        method = self.methods.get(statement.method)
        if method is None:
            raise BadStatement(b"22023", f"unknown class {statement.method!r}")
        self.open.add(self.taken + 1, OpenRpc(statement, slot))
        self.taken += 1
        self.put(
            ifc.RpcReceived(
                self.taken,
                method,
                tenant=0,
                key=statement.key,
                deadline_ms=self.clock.at(self.drain.due(came_at + statement.wait_ms / 1000.0)),
                cost_ms=statement.cost_ms,
                is_retry=statement.repeat,
                is_write=statement.write,
                unread_ms=1000.0 * (self.poller.since - came_at),
            )
        )
        return self.taken

    def shorten(self, rpc: int, due: float) -> None:
        """Answers behind this one's are due then, by the monotonic clock."""
        if rpc in self.open:
            self.put(ifc.DeadlineShortened(rpc, self.clock.at(due)))

    def shorten_all(self) -> None:
        """What is open now is due by the drain's deadline as well; `take` sees to what comes later."""
        for rpc in self.open.numbers():
            self.shorten(rpc, self.drain.deadline)

    def gone(self, rpc: int, why: str) -> None:
        """Its connection has ended, for this reason: nobody is left to answer."""
        held = self.open.leave(rpc)
        if held is not None:
            self.report.say("rpc", held.unanswered(why))
            for nth in range(held.picks):
                self.nodes.on_client_gone(rpc, nth)
            self.put(ifc.RpcCancelled(rpc))

    def wanted(self, rpc: int) -> bool:
        return rpc in self.open

    def told(self, listing: ifc.NodeList, listed: list[ListedNode]) -> None:
        self.nodes.apply_node_list(listing.kind, listed)
        self.put(listing)

    def begin(self) -> None:
        """A new life of the module: at the start, and again if it fails."""
        self.timers.forget_tokens()
        self.marshal = Balancer(self.start)
        self._carry_out(self.marshal.begin(self.clock.now()))

    async def run(self) -> None:
        while True:
            for _ in range(self.limits.turns):
                found = self.poller.turn()
                if not self._work() and not found:
                    break
            else:
                await anyio.lowlevel.checkpoint()  # other tasks have their turn
                continue
            with anyio.move_on_after(max(0.0, (self.timers.next_at() - self.clock.now()) / 1000.0)) as self.waiting:
                await self.poller.wait()
            self.waiting = None
            self.poller.polled = time.monotonic()  # what is found now has just come

    def _work(self) -> bool:
        """Handle events and timers, so many at a time; whether there were any."""
        did = False
        for _ in range(self.limits.events):
            if not self._one():
                more = self.between is not None and self.between()
                if not self.queue:
                    return did or more
            did = True
        return True

    def _one(self) -> bool:
        """Handle what is due: one event, and one timer so that a burst of events starves none."""
        now, did = self.clock.now(), False
        if self.timers.next_at() <= now:
            what = self.timers.pop()
            if isinstance(what, Expiring):
                try:
                    what.expire()
                except Exception:  # a defect that one time-out met stays with it
                    self.report.say("fault", traceback.format_exc(limit=-2))
            else:
                self._handle(now, ifc.TimerFired(what))
            did = True
        if self.queue:
            event = self.queue.popleft()
            self._handle(self.clock.now(), self._ended(event) if isinstance(event, PickResult) else event)
            did = True
        return did

    def _ended(self, outcome: PickResult) -> ifc.PickEnded:
        """The first ok goes to the client at once; the module hears that it was final."""
        rpc, ending = outcome.rpc_id, outcome.outcome
        if ending == ifc.Outcome.OK:
            self.open.answer(rpc, [*outcome.answer, pgwire.READY], "served")
        final = rpc not in self.open
        return ifc.PickEnded(rpc, outcome.pick_index, outcome.node, ending, final, outcome.duration_ms, {})

    def _handle(self, now: float, event: ifc.Event) -> None:
        if isinstance(event, ifc.RolloutStatus) and event.ending == ifc.Outcome.OK:
            if self.news is None or event.cap < self.news.cap or event.build != self.news.build:
                self.nodes.invalidate_picks(event.build)
            self.news = event
        try:
            actions = self.marshal.handle(now, event)
        except Exception:
            self._failed(traceback.format_exc(limit=-2))
            return
        if isinstance(event, ifc.RpcCancelled):
            self.open.left_heard(event.rpc_id)
        if self.watch is not None:
            for one in (event, *actions):
                self.watch(now, one)
        self._carry_out(actions)

    def _failed(self, trace: str) -> None:
        """The module failed: its state can't be trusted. What it held is aborted, which promises nothing, and
        it begins a new life with what is known of nodes and builds, as after a restart."""
        self.report.say("fault", trace)
        self.open.abort_all()
        self.open.left.clear()  # the new life knows of none
        self.begin()
        entries = tuple(endpoint.listed.entry for endpoint in self.nodes.endpoints.values())
        self._carry_out(self.marshal.handle(self.clock.now(), ifc.NodeList(ifc.ListKind.CACHED, 0, entries)))
        if self.news is not None:
            self._carry_out(self.marshal.handle(self.clock.now(), self.news))

    def _carry_out(self, actions: list[ifc.Action]) -> None:
        for action in actions:
            try:
                self._act(action)
            except Exception:  # a defect that one action met stays with it; the module's timers end its RPC
                self.report.say("fault", traceback.format_exc(limit=-2))

    def _act(self, action: ifc.Action) -> None:
        match action:
            case ifc.Pick():
                self._pick(action)
            case ifc.PushBack():
                self.open.answer(action.rpc_id, [pushed_back(action.retry_after_ms)], "refused")
            case ifc.Abort():
                self.open.answer(action.rpc_id, [ABORTED], "failed")
            case ifc.CancelPick():
                self.nodes.cancel(action.rpc_id, action.pick_index)
            case ifc.SetTimer():
                self.timers.set(self.clock.now() + action.delay_ms, action.token)
            case ifc.Vote():
                self.vote(action)
            case ifc.Probe():
                self.nodes.start_probe(action.node)
            case ifc.CloseIdle():
                self.nodes.close_idle(action.node)
            case ifc.LogLine():
                self.report.say("module", action.text)
            case _:
                self.report.say("driver", f"this protocol has no form for {type(action).__name__}")

    def _pick(self, pick: ifc.Pick) -> None:
        held = self.open.get(pick.rpc_id)
        if held is None:  # its client left in the same moment
            nth = self.open.number_left_pick(pick.rpc_id)
            self.put(PickResult(pick.rpc_id, nth, pick.node, ifc.Outcome.MOOT, 0.0, []))
            return
        held.picks += 1
        self.nodes.start_pick(pick, held.picks - 1, held.statement)
