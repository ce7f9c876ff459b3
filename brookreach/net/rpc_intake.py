"""From a client's statement to the queue: the table of open RPCs, their deadlines and their ends.

This module owns which RPCs are open and when they are due. It decides nothing, and carries out no action of the
balancer.
"""

from __future__ import annotations

import time
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net.answers import PendingAnswer
from brookreach.net.clock import Clock
from brookreach.net.drain import Drain
from brookreach.net.driver_inbox import DriverInbox
from brookreach.net.limits import Limits
from brookreach.net.nodes import NodeConnectionPool
from brookreach.net.open_rpcs import OpenRpc, OpenRpcs
from brookreach.net.poller import Poller
from brookreach.net.report import Report
from brookreach.net.statement import InvalidStatementError, Statement


class RpcIntake(DriverInbox):
    """Numbers RPCs, queues them for the balancer, and tells it when they are due sooner or have lost their client."""

    def __init__(
        self, settings: ifc.BalancerSettings, limits: Limits, report: Report, clock: Clock, poller: Poller, drain: Drain
    ) -> None:
        super().__init__(clock)
        self.settings = settings
        self.limits = limits
        self.report = report
        self.methods = {method.name.encode(): index for index, method in enumerate(settings.methods)}
        self.drain = drain
        self.rpc_count = 0
        self.dropped_count = 0  # of RPCs whose client left before they were decided on
        self.open_rpcs = OpenRpcs()
        self.poller = poller
        self.nodes = NodeConnectionPool(limits, report, poller, self)

    def available_links(self) -> int:
        """Return how many connections to nodes may still be made."""
        return self.limits.max_links - self.nodes.connection_count

    def receive(self, statement: Statement, answer: PendingAnswer, arrived_at: float) -> int:
        """Hand an RPC to the balancer and return its id. Raises InvalidStatementError.

        `arrived_at`, by the monotonic clock, is the earliest that its last byte may have arrived: the client has waited
        since then.
        """
        method = self.methods.get(statement.method)
        if method is None:
            raise InvalidStatementError(b"22023", f"unknown class {statement.method!r}")
        rpc_id = self.rpc_count + 1
        received = ifc.RpcReceived(
            rpc_id,
            method,
            tenant=0,
            key=statement.key,
            deadline_ms=self.clock.to_unix_ms(self.drain.answer_due(arrived_at + statement.wait_ms / 1000.0)),
            cost_ms=statement.cost_ms,
            is_retry=statement.is_retry,
            is_write=statement.is_write,
            unread_ms=1000.0 * (time.monotonic() - arrived_at),
            client_id=statement.name,
        )
        self.open_rpcs.add(rpc_id, OpenRpc(statement, answer, received))
        self.rpc_count = rpc_id
        self.queue.add_rpc(rpc_id)
        return rpc_id

    def shorten_deadline(self, rpc_id: int, due: float) -> None:
        """An answer after this RPC's is due at `due`, by the monotonic clock, so its own is as well."""
        rpc = self.open_rpcs.get(rpc_id)
        if rpc is None:
            return
        deadline_ms = self.clock.to_unix_ms(due)
        if rpc.received is None:
            self.enqueue(ifc.DeadlineShortened(rpc_id, deadline_ms))
        elif deadline_ms < rpc.received.deadline_ms:  # the balancer has not heard of it yet
            rpc.received = replace(rpc.received, deadline_ms=deadline_ms)

    def shorten_all_deadlines(self) -> None:
        """Make all open RPCs due by the drain's deadline; `receive` sees to later ones."""
        for rpc_id in self.open_rpcs.ids():
            self.shorten_deadline(rpc_id, self.drain.deadline)

    def cancel(self, rpc_id: int, why: str) -> None:
        """The RPC's connection has ended, for this reason: nobody is left to answer."""
        rpc = self.open_rpcs.remove_departed(rpc_id)
        if rpc is not None:
            self.report.log("rpc", rpc.describe_unanswered(why))
            for pick_index in range(rpc.picks):
                self.nodes.on_client_gone(rpc_id, pick_index)
            if rpc.received is None:
                self.enqueue(ifc.RpcCancelled(rpc_id))
            else:  # the balancer has not heard of it, and never will
                self.dropped_count += 1
                self.open_rpcs.forget_departed(rpc_id)

    def is_open(self, rpc_id: int) -> bool:
        """Return whether an RPC has no final answer yet, and its client is there."""
        return rpc_id in self.open_rpcs
