"""The one task that runs the balancer: others enqueue events; it keeps timers and carries out actions.

This module owns the Balancer, its clock and the table of RPCs without a final answer, and so ensures that each gets
exactly one. It decides nothing: an answer is a node's first OK, or the balancer's action.
"""

from __future__ import annotations

import math
import time
import traceback
from collections.abc import Callable

import anyio.lowlevel

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.answers import ABORTED, push_back_response
from brookreach.net.clock import Clock
from brookreach.net.drain import Drain
from brookreach.net.endpoint import ListedNode
from brookreach.net.in_flight import PickResult
from brookreach.net.limits import Limits
from brookreach.net.poller import Expirable, Poller
from brookreach.net.report import Report
from brookreach.net.rollout_order import RolloutOrder
from brookreach.net.rpc_intake import RpcIntake
from brookreach.net.standstill import MAX_WAIT_S, StandstillMonitor
from brookreach.policy.balancer import Balancer


class Driver(RpcIntake):
    """Passes events to the balancer and its actions to the network side."""

    def __init__(
        self, settings: ifc.BalancerSettings, limits: Limits, report: Report, clock: Clock, poller: Poller, drain: Drain
    ) -> None:
        super().__init__(settings, limits, report, clock, poller, drain)
        self.rollout_status: ifc.RolloutStatus | None = None
        self.rollout_order = RolloutOrder(1000.0 * limits.stale_status_period_s)
        self.standstills = StandstillMonitor(report)
        self.vote: Callable[[ifc.Vote], object] = self.defer_vote
        self.on_queue_empty: Callable[[], bool] | None = None  # returns whether there is more to do
        self.observer: Callable[[float, object], None] | None = None  # notified of events and actions

    def defer_vote(self, vote: ifc.Vote) -> None:
        """Report a vote as not sent, before the platform client has started: the balancer may repeat it."""
        self.enqueue(
            ifc.RolloutStatus(True, ifc.Outcome.NO_CONNECT, vote.stage, 0.0, ifc.RolloutPhase.ON_TRIAL, 0.0, vote.build)
        )

    def on_node_list(self, listing: ifc.NodeList, listed: list[ListedNode]) -> None:
        """Discovery lists nodes: all, or those that changed."""
        self.nodes.apply_node_list(listing.kind, listed)
        self.enqueue(listing)

    def start_balancer(self) -> None:
        """Start a balancer that knows nothing: at the start, and again if it fails."""
        self.timers.drop_tokens()
        self.balancer = Balancer(self.settings)
        self._carry_out(self.balancer.begin(self.clock.now_ms()))

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            self.standstills.note_turn()
            if self._take_turn():
                await anyio.lowlevel.checkpoint()  # other tasks have their turn
                has_stood_still = self.standstills.check(0.0)
            else:
                has_stood_still = await self._wait()
            if has_stood_still:
                await self._let_others_read()

    def _take_turn(self) -> bool:
        """Handle sockets, events and timers for a limited time; return whether there may be more.

        Lists of nodes and the platform's news are read by other tasks: how long they wait is bounded by this time.
        """
        ends_at = time.monotonic() + self.limits.turn_s
        self.timers.drop_settled(self._is_timer_needed)
        while self.run_round(ends_at):
            if time.monotonic() >= ends_at:
                return True
        return False

    def run_round(self, ends_at: float = math.inf) -> bool:
        """Handle some sockets, then events and timers until `ends_at`; return whether there was anything to do."""
        found = self.poller.poll_urgent()
        has_more = False
        if not self.queue:  # else RPCs wait to be decided on, and no more are read
            has_more = self.on_queue_empty is not None and self.on_queue_empty()
            found += self.poller.handle_waiting()
        return self._work(ends_at) or has_more or found > 0

    async def _let_others_read(self) -> None:
        """Let other tasks read what came during a standstill: what changes the decisions goes before new RPCs."""
        for _ in range(self.limits.turns_after_standstill):
            await anyio.lowlevel.checkpoint()

    async def _wait(self) -> bool:
        """Wait until there may be something to do; return whether the process stood still meanwhile."""
        due_s = (self.timers.next_due_ms() - self.clock.now_ms()) / 1000.0
        wait_s = min(MAX_WAIT_S, max(0.0, due_s))
        with anyio.move_on_after(wait_s) as self.wait_scope:
            await self.poller.wait()
        self.wait_scope = None
        if self.standstills.check(wait_s):
            return True
        self.poller.polled_at = time.monotonic()  # what is found now has just arrived
        return False

    def _work(self, ends_at: float = math.inf) -> bool:
        """Handle a limited number of events and timers until `ends_at`; return whether there were any."""
        for count in range(self.limits.events_per_turn):
            if not self._handle_next():
                return count > 0
            if time.monotonic() >= ends_at:
                break
        return True

    def _is_timer_needed(self, target: int | Expirable) -> bool:
        return not target.is_settled() if isinstance(target, Expirable) else self.balancer.needs_timer(target)

    def _handle_next(self) -> bool:
        """Handle the next event, timer or new RPC, in the order of `EventQueue`; return whether there was any."""
        event = self.queue.next_event()
        now = self.clock.now_ms()
        if event is not None:
            self._handle(now, self._pick_ended(event) if isinstance(event, PickResult) else event)
        elif self.timers.next_due_ms() <= now:
            self._fire(now, self.timers.pop())
        else:
            rpc_id = self.queue.next_rpc()
            if rpc_id is None:
                return False
            rpc = self.open_rpcs.get(rpc_id)
            received = rpc.take_received() if rpc is not None else None
            if received is not None:  # else its client has left, and nothing may be begun for it
                self._handle(now, received)
        return True

    def _fire(self, now: float, target: int | Expirable) -> None:
        """Handle a timer that is due."""
        if not isinstance(target, Expirable):
            self._handle(now, ifc.TimerFired(target))
            return
        try:
            target.expire()
        except Exception:  # a defect must cost only the timeout that met it
            self.report.log("fault", traceback.format_exc(limit=-2))

    def _pick_ended(self, pick: PickResult) -> ifc.PickEnded:
        """Send the first OK to the client at once, and tell the balancer whether the RPC is answered."""
        rpc_id, outcome = pick.rpc_id, pick.outcome
        if outcome == ifc.Outcome.OK:
            self.open_rpcs.answer(rpc_id, [*pick.answer, pgwire.READY_FOR_QUERY], "served")
        is_final = rpc_id not in self.open_rpcs
        return ifc.PickEnded(rpc_id, pick.pick_index, pick.node, outcome, is_final, pick.duration_ms, {})

    def _handle(self, now: float, event: ifc.Event) -> None:
        if isinstance(event, ifc.RolloutStatus) and event.ending == ifc.Outcome.OK:
            event = self.rollout_order.newest(now, event)
            self._note_status(event)
        try:
            actions = self.balancer.handle(now, event)
        except Exception:
            self._restart_balancer(traceback.format_exc(limit=-2))
            return
        if isinstance(event, ifc.RpcCancelled):
            self.open_rpcs.forget_departed(event.rpc_id)
        if self.observer is not None:
            for observed in (event, *actions):
                self.observer(now, observed)
        self._carry_out(actions)

    def _note_status(self, status: ifc.RolloutStatus) -> None:
        previous = self.rollout_status
        if previous is None or status.cap < previous.cap or status.build != previous.build:
            self.nodes.invalidate_picks(status.build)
        self.rollout_status = status

    def _restart_balancer(self, trace: str) -> None:
        """Replace a balancer that failed, since its state can't be trusted.

        Its RPCs are aborted, which promises nothing, and the new one begins with what is known of nodes and builds,
        as after a restart.
        """
        self.report.log("fault", trace)
        self.open_rpcs.abort_all()
        self.open_rpcs.departed_picks.clear()  # the new balancer knows of none
        self.start_balancer()
        entries = tuple(endpoint.listed.entry for endpoint in self.nodes.endpoints.values())
        self._carry_out(self.balancer.handle(self.clock.now_ms(), ifc.NodeList(ifc.ListKind.CACHED, 0, entries)))
        if self.rollout_status is not None:
            self._carry_out(self.balancer.handle(self.clock.now_ms(), self.rollout_status))

    def _carry_out(self, actions: list[ifc.Action]) -> None:
        for action in actions:
            try:
                self._act(action)
            except Exception:  # a defect must cost only the action that met it; the balancer's timers end its RPC
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
        rpc = self.open_rpcs.get(pick.rpc_id)
        if rpc is None:  # its client left in the same moment
            pick_index = self.open_rpcs.next_departed_pick(pick.rpc_id)
            self.enqueue(PickResult(pick.rpc_id, pick_index, pick.node, ifc.Outcome.MOOT, 0.0, []))
            return
        rpc.picks += 1
        self.nodes.start_pick(pick, rpc.picks - 1, rpc.statement)
