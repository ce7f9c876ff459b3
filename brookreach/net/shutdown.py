"""The steps of a shutdown, from its signal to the last answer.

This module owns their order. It does not decide when a request is due: the drain does.
"""

from __future__ import annotations

import time

import anyio

from brookreach.net.clients import Clients
from brookreach.net.drain import Drain
from brookreach.net.driver import Driver
from brookreach.net.report import Report, run_logging_errors

MAX_LOGGED_CLOSE_REASONS = 8  # the most frequent


class Shutdown:
    """One shutdown. A defect in one step is logged; the steps after it are taken all the same."""

    def __init__(self, drain: Drain, driver: Driver, clients: Clients, report: Report) -> None:
        self.drain = drain
        self.driver = driver
        self.clients = clients
        self.report = report

    async def run(self) -> None:
        """Return once every connection has ended, at the latest at the drain's `exit_at`; nothing is owed then."""
        self.drain.begin()
        run_logging_errors(self.report, self.driver.shorten_all_deadlines)
        within_s = self.drain.deadline - time.monotonic()
        self._log(f"stops, {len(self.driver.open_rpcs)} RPCs under way, answered within {within_s:.2f} s")
        await anyio.sleep(max(0.0, self.drain.refuse_new_at - time.monotonic()))
        run_logging_errors(self.report, self.clients.refuse_new_connections)
        await self._wait_until_all_ended(self.drain.deadline)
        run_logging_errors(self.report, self.clients.stop_waiting)
        await self._wait_until_all_ended(self.drain.exit_at)
        run_logging_errors(self.report, self._log_end)
        run_logging_errors(self.report, self.driver.open_rpcs.abort_all)
        run_logging_errors(self.report, self.clients.close)

    async def _wait_until_all_ended(self, latest: float) -> None:
        """Return when every connection has ended, at the latest at `latest`, by the monotonic clock."""
        with anyio.move_on_after(latest - time.monotonic()):
            while self.clients.connected:
                self.clients.client_ended = anyio.Event()
                await self.clients.client_ended.wait()

    def _log_end(self) -> None:
        closes = [f"{count} {why}" for why, count in self.clients.close_counts.most_common(MAX_LOGGED_CLOSE_REASONS)]
        answers = [f"{count} {kind}" for kind, count in self.driver.open_rpcs.answer_counts.items()]
        second_answers = self.driver.nodes.pool_state.second_answers
        standstills = self.driver.standstills
        self._log(
            f"ends, {len(self.driver.open_rpcs)} RPCs unanswered; answers: {', '.join(answers) or 'none'}; "
            f"connections closed: {', '.join(closes) or 'none'}; second answers of nodes: {second_answers}; "
            f"dropped undecided: {self.driver.dropped_count}; "
            f"held up: {standstills.count} times, {standstills.total_s:.2f} s"
        )

    def _log(self, text: str) -> None:
        self.report.log("marshal", text)
