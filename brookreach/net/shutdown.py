"""The steps of a stop, from its signal to the last answer.

It owns their order. It must never decide when a request is due: the drain does.
"""

from __future__ import annotations

import time

import anyio

from brookreach.net.clients import Clients
from brookreach.net.drain import Drain
from brookreach.net.driver import Driver
from brookreach.net.report import Report, run_logging_errors

CLOSES_SHOWN = 8  # reasons for closing connections, the most frequent first


class Shutdown:
    """One stop. A defect that one step meets is logged; the steps behind it are taken all the same."""

    def __init__(self, drain: Drain, driver: Driver, clients: Clients, report: Report) -> None:
        self.drain, self.driver, self.clients, self.report = drain, driver, clients, report

    async def run(self) -> None:
        """Returns once every connection has ended, at the latest at the drain's end; nothing is owed then."""
        self.drain.begin()
        run_logging_errors(self.report, self.driver.shorten_all_deadlines)
        within_s = self.drain.deadline - time.monotonic()
        self._say(f"stops, {len(self.driver.open_rpcs)} RPCs under way, answered within {within_s:.2f} s")
        await anyio.sleep(self.drain.refuse_new_at - time.monotonic())
        run_logging_errors(self.report, self.clients.refuse_new_connections)
        await self._all_ended(self.drain.deadline)
        run_logging_errors(self.report, self.clients.stop_waiting)
        await self._all_ended(self.drain.exit_at)
        self._say_end()
        run_logging_errors(self.report, self.driver.open_rpcs.abort_all)
        run_logging_errors(self.report, self.clients.close)

    async def _all_ended(self, at: float) -> None:
        """Until every connection has ended, at the longest until `at`, by the monotonic clock."""
        with anyio.move_on_after(at - time.monotonic()):
            while self.clients.connected:
                self.clients.client_ended = anyio.Event()
                await self.clients.client_ended.wait()

    def _say_end(self) -> None:
        closes = [f"{count} {why}" for why, count in self.clients.close_counts.most_common(CLOSES_SHOWN)]
        answers = [f"{count} {kind}" for kind, count in self.driver.open_rpcs.answer_counts.items()]
        second_answers = self.driver.nodes.pool_state.second_answers
        self._say(
            f"ends, {len(self.driver.open_rpcs)} RPCs unanswered; answers: {', '.join(answers) or 'none'}; "
            f"connections closed: {', '.join(closes) or 'none'}; second answers of nodes: {second_answers}"
        )

    def _say(self, text: str) -> None:
        self.report.log("marshal", text)
