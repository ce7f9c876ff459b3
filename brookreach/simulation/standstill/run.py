"""One run of the standstill drill: the balancer's process is stopped, input comes from two sides, and it goes on."""

from __future__ import annotations

import math
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from brookreach.simulation.balancer.clients import HELLO, RequestFactory
from brookreach.simulation.balancer.connection import Connection
from brookreach.simulation.balancer.control_plane import ControlPlane
from brookreach.simulation.balancer.machine_load import MachineLoad
from brookreach.simulation.balancer.program import BalancerProcess
from brookreach.simulation.balancer.record import Outcome, Record
from brookreach.simulation.balancer.scenario import NodeKind
from brookreach.simulation.balancer.soak_run import READ_LINGER_S, SoakRun
from brookreach.simulation.processes.ports import HOST
from brookreach.simulation.standstill.control_plane import StandstillControlPlane
from brookreach.simulation.standstill.scenario import InputPair, StandstillScenario

STANDBY_CLIENTS = 40  # connected before the standstill; they ask during it
CROWD = 150  # new connections at a stop
WARM_UP_S = 1.6
STATE_POLL_S = 0.001
WAITING_STATE = "S"
OUTAGE_S = 12.0  # of discovery, until the standstill
SERVICE_BALANCERS = 200
VOTE_LIMIT_S = 25.0
REQUESTS_AT_ONCE = 3  # of a client that stands by, safe and unsafe ones
DRAINED_NODES = (0, 1)
VOTE_ANSWER_S = 6.0  # longer than a standstill and what comes before it: its answer counts after it
INPUT_AFTER_S = 0.1  # of a standstill
ANSWER_AFTER_S = 0.05  # the process has gone on: the vote's answer was held up for longer than the news
WATCH_S = 3.8  # after a standstill: longer than the longest wait of a client
LISTED_WITHIN_S = 6.0  # after the return of discovery


def _is_waiting(process_id: int) -> bool:
    """Return whether a process waits, by the state that the kernel tells."""
    return Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0] == WAITING_STATE


class CannotPlayError(Exception):
    """What the pair needs did not happen: nothing is said about any rule."""


@dataclass(slots=True)
class Standstill:
    """When the process stood still, by the drill's clock; infinite until then."""

    stopped_at: float = math.inf
    resumed_at: float = math.inf


@dataclass(slots=True)
class StandbyClient:
    """A client with one connection on which an earlier request is answered."""

    stream: anyio.abc.SocketStream
    connection: Connection

    async def leave(self) -> None:
        """Close the connection; what is open on it is left."""
        self.connection.end(Outcome.LEFT)
        await anyio.aclose_forcefully(self.stream)


class StandstillRun(SoakRun):
    """One run; what was seen is in `record`, `standstill` and `control`."""

    def __init__(self, scenario: StandstillScenario, folder: Path, command: str, defect: str = ""):
        super().__init__(scenario.usual, folder, command, defect)
        self.pair, self.standstill_s = scenario.pair, scenario.standstill_s
        self.standstill = Standstill()
        self.ended_at = math.inf
        self._factory = RequestFactory(self.record, scenario.usual.limits_s, "b")

    @property
    def control(self) -> StandstillControlPlane:
        """Return discovery and the platform of this run."""
        assert isinstance(self._control, StandstillControlPlane)
        return self._control

    def _make_control(self, members: list[dict[str, Any]], news: dict[str, Any], record: Record) -> ControlPlane:
        return StandstillControlPlane(members, news, record)

    def _configuration(self, node_ports: list[int], discovery_port: int, platform_port: int) -> dict[str, Any]:
        told = super()._configuration(node_ports, discovery_port, platform_port)
        settings = told["settings"]
        settings["familyInfo"]["answerWaitUs"] = round(VOTE_ANSWER_S * 1e6)
        if self.pair == InputPair.OUTAGE_AND_DRAIN:  # one service for the lists of many balancers
            settings |= {"registryMode": "ask", "balancers": SERVICE_BALANCERS}
        return told

    async def _play_processes(self, configuration: dict[str, Any]) -> None:
        process = BalancerProcess(self._command, configuration, self._folder, self._shim(False), self.record)
        try:
            process.start()
            if await self._becomes_ready(process, "the start"):
                await self._play_traffic(process)
        finally:
            process.kill()

    async def _play_traffic(self, process: BalancerProcess) -> None:
        load = MachineLoad()
        async with anyio.create_task_group() as tasks:
            for number, style in enumerate(self.scenario.clients):
                tasks.start_soon(self._client(style, f"{number:x}a").run)
            tasks.start_soon(load.sample, process.process_id)
            standby = [await self._connect_standby(tasks) for _ in range(STANDBY_CLIENTS)]
            await self._prepare()
            await self._stop(process)
            await self._play_pair(process, standby, tasks)
            await anyio.sleep_until(self.standstill.stopped_at + self.standstill_s)
            process.send_signal(signal.SIGCONT)
            self.standstill.resumed_at = time.monotonic()
            await anyio.sleep(ANSWER_AFTER_S)
            self.control.rollout.answer_vote.set()
            await self._watch(process)
            self.ended_at = time.monotonic()
            tasks.cancel_scope.cancel()
        # What it waited for a core while it was stopped is not counted by the kernel.
        self.record.held_up_s, self.record.loop_delay_s = load.held_up_s, load.loop_delay_s

    async def _stop(self, process: BalancerProcess) -> None:
        """Let the process stand still; where requests are to be found by a wait, in that wait."""
        while self.pair == InputPair.REQUEST_AND_SILENCE and not _is_waiting(process.process_id):
            await anyio.sleep(STATE_POLL_S)
        process.send_signal(signal.SIGSTOP)
        self.standstill.stopped_at = time.monotonic()

    async def _connect_standby(self, tasks: anyio.abc.TaskGroup) -> StandbyClient:
        stream = await anyio.connect_tcp(HOST, self._port)
        connection = Connection(stream, self.record)
        tasks.start_soon(connection.read)
        request, query = self._factory.make_with(True, self.scenario.limits_s[0])
        await connection.send(HELLO + query, [request])
        await connection.wait_until(lambda: connection.has_ended or not connection.requests)
        return StandbyClient(stream, connection)

    async def _ask(self, client: StandbyClient) -> None:
        wait_s = min(self.scenario.limits_s)
        made = [self._factory.make_with(number % 2 == 0, wait_s) for number in range(REQUESTS_AT_ONCE)]
        await client.connection.send(b"".join(query for _, query in made), [request for request, _ in made])

    async def _prepare(self) -> None:
        """Bring about what the pair needs before the standstill."""
        if self.pair != InputPair.VOTE_AND_NEWS:
            await anyio.sleep(WARM_UP_S)
        if self.pair == InputPair.OUTAGE_AND_DRAIN:
            self.control.begin_outage()
            await anyio.sleep(OUTAGE_S)
        if self.pair == InputPair.VOTE_AND_NEWS:
            with anyio.move_on_after(VOTE_LIMIT_S):
                await self.control.rollout.voted.wait()
                return
            raise CannotPlayError(f"no vote came within {VOTE_LIMIT_S:.0f} s")

    async def _play_pair(
        self, process: BalancerProcess, standby: list[StandbyClient], tasks: anyio.abc.TaskGroup
    ) -> None:
        await anyio.sleep_until(self.standstill.stopped_at + INPUT_AFTER_S)
        await self._play_before_requests(process, tasks)
        for client in standby:
            await self._ask(client)
        await self._play_behind_requests(standby)

    async def _play_before_requests(self, process: BalancerProcess, tasks: anyio.abc.TaskGroup) -> None:
        match self.pair:
            case InputPair.REQUEST_AND_SILENCE:
                self.nodes[0].kind = NodeKind.HANGING
            case InputPair.VOTE_AND_NEWS:
                await self.control.send_back()
            case InputPair.STOP_AND_CROWD:
                for node in self.nodes:  # so that requests are open until the end of the stop
                    node.kind = NodeKind.HANGING
                self._stop_sent_at = time.monotonic()
                process.send_signal(signal.SIGTERM)
                for number in range(CROWD):
                    tasks.start_soon(self._client(self.scenario.clients[0], f"{number:x}c").run_once)

    async def _play_behind_requests(self, standby: list[StandbyClient]) -> None:
        match self.pair:
            case InputPair.REQUEST_AND_END:
                await anyio.sleep(INPUT_AFTER_S)
                for client in standby:
                    await client.leave()
            case InputPair.REQUEST_AND_DRAIN:
                for node in DRAINED_NODES:
                    self.control.drain(node)
            case InputPair.OUTAGE_AND_DRAIN:
                self.control.drain(DRAINED_NODES[0])
                self.control.end_outage()

    async def _watch(self, process: BalancerProcess) -> None:
        """Wait for what is judged; at a stop until its end or the kill."""
        resumed_at = self.standstill.resumed_at
        if self.pair == InputPair.STOP_AND_CROWD:
            if await process.wait_until(self._stop_sent_at + self.scenario.kill_after_s):
                self.record.exit_code = process.exit_code
            process.kill()
            await anyio.sleep(READ_LINGER_S)
            return
        watch_s = LISTED_WITHIN_S + 0.5 if self.pair == InputPair.OUTAGE_AND_DRAIN else WATCH_S
        await anyio.sleep_until(resumed_at + watch_s)
