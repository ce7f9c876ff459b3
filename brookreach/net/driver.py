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
from brookreach.net.answers import ABORTED, PendingAnswer, push_back_response
from brookreach.net.clock import Clock as Clock
from brookreach.net.drain import Drain
from brookreach.net.endpoint import ListedNode
from brookreach.net.in_flight import PickResult
from brookreach.net.limits import Limits
from brookreach.net.nodes import NodeConnectionPool
from brookreach.net.open_rpcs import OpenRpc, OpenRpcs
from brookreach.net.poller import Expirable, Poller
from brookreach.net.report import Report
from brookreach.net.statement import InvalidStatementError, Statement
from brookreach.net.timers import Timers
from brookreach.policy.balancer import Balancer


class Driver:
    def __init__(
        self, start: ifc.BalancerSettings, limits: Limits, report: Report, clock: Clock, poller: Poller, drain: Drain
    ) -> None:
        self.settings, self.limits, self.report, self.clock = start, limits, report, clock
        self.methods = {method.name.encode(): at for at, method in enumerate(start.methods)}
        self.queue: deque[ifc.Event | PickResult] = deque()
        self.drain, self.timers, self.rpc_count = drain, Timers(), 0
        self.open_rpcs = OpenRpcs()
        self.rollout_status: ifc.RolloutStatus | None = None
        self.poller = poller
        self.wait_scope: anyio.CancelScope | None = None  # while the task has nothing to do
        self.nodes = NodeConnectionPool(limits, report, poller, self)
        self.vote: Callable[[ifc.Vote], object] = self.defer_vote
        self.on_queue_empty: Callable[[], bool] | None = None  # called when the queue is empty; whether it has more
        self.observer: Callable[[float, object], None] | None = None  # hears events and actions, where asked for

    def enqueue(self, event: ifc.Event | PickResult) -> None:
        self.queue.append(event)
        if self.wait_scope is not None:
            self.wait_scope.cancel()

    def defer_vote(self, vote: ifc.Vote) -> None:
        """A vote before the platform's part has started: it may be said again."""
        self.enqueue(
            ifc.RolloutStatus(True, ifc.Outcome.NO_CONNECT, vote.stage, 0.0, ifc.RolloutPhase.ON_TRIAL, 0.0, vote.build)
        )

    def available_links(self) -> int:
        """Connections to nodes that may still be made."""
        return self.limits.max_links - self.nodes.connection_count

    def schedule_timeout(self, delay_ms: float, what: Expirable) -> None:
        self.timers.schedule(self.clock.now_ms() + delay_ms, what)
        if self.wait_scope is not None:  # another task set it
            self.wait_scope.cancel()

    def receive(self, statement: Statement, answer: PendingAnswer, came_at: float) -> int:
        """Number an RPC and hand it to the module. `came_at`, by the monotonic clock, is the earliest that its
        last byte may have come: the client's wait has run since then. Raises InvalidStatementError."""
        method = self.methods.get(statement.method)
        if method is None:
            raise InvalidStatementError(b"22023", f"unknown class {statement.method!r}")
        self.open_rpcs.add(self.rpc_count + 1, OpenRpc(statement, answer))
        self.rpc_count += 1
        self.enqueue(
            ifc.RpcReceived(
                self.rpc_count,
                method,
                tenant=0,
                key=statement.key,
                deadline_ms=self.clock.to_unix_ms(self.drain.answer_due(came_at + statement.wait_ms / 1000.0)),
                cost_ms=statement.cost_ms,
                is_retry=statement.is_retry,
                is_write=statement.is_write,
                unread_ms=1000.0 * (self.poller.events_since - came_at),
            )
        )
        return self.rpc_count

    def shorten_deadline(self, rpc_id: int, due: float) -> None:
        """Answers behind this one's are due then, by the monotonic clock."""
        if rpc_id in self.open_rpcs:
            self.enqueue(ifc.DeadlineShortened(rpc_id, self.clock.to_unix_ms(due)))

    def shorten_all_deadlines(self) -> None:
        """What is open now is due by the drain's deadline as well; `take` sees to what comes later."""
        for rpc in self.open_rpcs.ids():
            self.shorten_deadline(rpc, self.drain.deadline)

    def cancel(self, rpc: int, why: str) -> None:
        """Its connection has ended, for this reason: nobody is left to answer."""
        held = self.open_rpcs.remove_departed(rpc)
        if held is not None:
            self.report.log("rpc", held.describe_unanswered(why))
            for nth in range(held.picks):
                self.nodes.on_client_gone(rpc, nth)
            self.enqueue(ifc.RpcCancelled(rpc))

    def is_open(self, rpc: int) -> bool:
        return rpc in self.open_rpcs

    def on_node_list(self, listing: ifc.NodeList, listed: list[ListedNode]) -> None:
        self.nodes.apply_node_list(listing.kind, listed)
        self.enqueue(listing)

    def start_balancer(self) -> None:
        """A new life of the module: at the start, and again if it fails."""
        self.timers.drop_tokens()
        self.balancer = Balancer(self.settings)
        self._carry_out(self.balancer.begin(self.clock.now_ms()))

    async def run(self) -> None:
        while True:
            for _ in range(self.limits.turns_before_yield):
                found = self.poller.poll()
                if not self._work() and not found:
                    break
            else:
                await anyio.lowlevel.checkpoint()  # other tasks have their turn
                continue
            with anyio.move_on_after(
                max(0.0, (self.timers.next_due_ms() - self.clock.now_ms()) / 1000.0)
            ) as self.wait_scope:
                await self.poller.wait()
            self.wait_scope = None
            self.poller.polled_at = time.monotonic()  # what is found now has just come

    def _work(self) -> bool:
        """Handle events and timers, so many at a time; whether there were any."""
        did = False
        for _ in range(self.limits.events_per_turn):
            if not self._one():
                more = self.on_queue_empty is not None and self.on_queue_empty()
                if not self.queue:
                    return did or more
            did = True
        return True

    def _one(self) -> bool:
        """Handle what is due: one event, and one timer so that a burst of events starves none."""
        now, did = self.clock.now_ms(), False
        if self.timers.next_due_ms() <= now:
            what = self.timers.pop()
            if isinstance(what, Expirable):
                try:
                    what.expire()
                except Exception:  # a defect that one time-out met stays with it
                    self.report.log("fault", traceback.format_exc(limit=-2))
            else:
                self._handle(now, ifc.TimerFired(what))
            did = True
        if self.queue:
            event = self.queue.popleft()
            self._handle(self.clock.now_ms(), self._ended(event) if isinstance(event, PickResult) else event)
            did = True
        return did

    def _ended(self, outcome: PickResult) -> ifc.PickEnded:
        """The first ok goes to the client at once; the module hears that it was final."""
        rpc, ending = outcome.rpc_id, outcome.outcome
        if ending == ifc.Outcome.OK:
            self.open_rpcs.answer(rpc, [*outcome.answer, pgwire.READY_FOR_QUERY], "served")
        final = rpc not in self.open_rpcs
        return ifc.PickEnded(rpc, outcome.pick_index, outcome.node, ending, final, outcome.duration_ms, {})

    def _handle(self, now: float, event: ifc.Event) -> None:
        if isinstance(event, ifc.RolloutStatus) and event.ending == ifc.Outcome.OK:
            if (
                self.rollout_status is None
                or event.cap < self.rollout_status.cap
                or event.build != self.rollout_status.build
            ):
                self.nodes.invalidate_picks(event.build)
            self.rollout_status = event
        try:
            actions = self.balancer.handle(now, event)
        except Exception:
            self._failed(traceback.format_exc(limit=-2))
            return
        if isinstance(event, ifc.RpcCancelled):
            self.open_rpcs.forget_departed(event.rpc_id)
        if self.observer is not None:
            for one in (event, *actions):
                self.observer(now, one)
        self._carry_out(actions)

    def _failed(self, trace: str) -> None:
        """The module failed: its state can't be trusted. What it held is aborted, which promises nothing, and
        it begins a new life with what is known of nodes and builds, as after a restart."""
        self.report.log("fault", trace)
        self.open_rpcs.abort_all()
        self.open_rpcs.departed_picks.clear()  # the new life knows of none
        self.start_balancer()
        entries = tuple(endpoint.listed.entry for endpoint in self.nodes.endpoints.values())
        self._carry_out(self.balancer.handle(self.clock.now_ms(), ifc.NodeList(ifc.ListKind.CACHED, 0, entries)))
        if self.rollout_status is not None:
            self._carry_out(self.balancer.handle(self.clock.now_ms(), self.rollout_status))

    def _carry_out(self, actions: list[ifc.Action]) -> None:
        for action in actions:
            try:
                self._act(action)
            except Exception:  # a defect that one action met stays with it; the module's timers end its RPC
                self.report.log("fault", traceback.format_exc(limit=-2))

    def _act(self, action: ifc.Action) -> None:
        match action:
            case ifc.Pick():
                self._pick(action)
            case ifc.PushBack():
                self.open_rpcs.answer(action.rpc_id, [push_back_response(action.retry_after_ms)], "refused")
            case ifc.Abort():
                self.open_rpcs.answer(action.rpc_id, [ABORTED], "failed")
            case ifc.CancelPick():
                self.nodes.cancel(action.rpc_id, action.pick_index)
            case ifc.SetTimer():
                self.timers.schedule(self.clock.now_ms() + action.delay_ms, action.token)
            case ifc.Vote():
                self.vote(action)
            case ifc.Probe():
                self.nodes.start_probe(action.node)
            case ifc.CloseIdle():
                self.nodes.close_idle(action.node)
            case ifc.LogLine():
                self.report.log("module", action.text)
            case _:
                self.report.log("driver", f"this protocol has no form for {type(action).__name__}")

    def _pick(self, pick: ifc.Pick) -> None:
        held = self.open_rpcs.get(pick.rpc_id)
        if held is None:  # its client left in the same moment
            nth = self.open_rpcs.next_departed_pick(pick.rpc_id)
            self.enqueue(PickResult(pick.rpc_id, nth, pick.node, ifc.Outcome.MOOT, 0.0, []))
            return
        held.picks += 1
        self.nodes.start_pick(pick, held.picks - 1, held.statement)
