"""One run of the soak: a balancer's process with its nodes, control plane and clients, and the faults of a scenario."""

from __future__ import annotations

import json
import math
import random
import signal
import subprocess
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from brookreach.net import pgwire
from brookreach.simulation.balancer.clients import HELLO, Client, RequestFactory
from brookreach.simulation.balancer.control_plane import ControlPlane
from brookreach.simulation.balancer.machine_load import MachineLoad
from brookreach.simulation.balancer.messages import MessageStream
from brookreach.simulation.balancer.nodes import NodeStandIn
from brookreach.simulation.balancer.program import ROOT, BalancerProcess, ShimSettings
from brookreach.simulation.balancer.record import Record
from brookreach.simulation.balancer.scenario import (
    BUILD_ON_TRIAL,
    LATEST_NEW_CONNECTION_S,
    RELEASED_BUILD,
    TRIAL_CAP,
    WARM_UP_S,
    ClientStyle,
    Scenario,
)
from brookreach.simulation.processes.parent_death import ENDING_WITH_PARENT
from brookreach.simulation.processes.ports import HOST, PortAllocator
from brookreach.simulation.stand_ins import GONE

EXAMPLE_CONFIGURATION = ROOT / "deploy" / "marshal.json"
READY_LIMIT_S = 10.0
PROBE_PAUSE_S = 0.02
READ_LINGER_S = 0.8  # after the kill, for what clients still read: longer than the slowest waits
BUSY_PROGRAM = "while True: pass"


class SoakRun:
    """One run; what was seen is in `record`.

    Args:
        command: The command that starts the balancer.
        defect: A defect to plant into it; empty for none.
    """

    def __init__(self, scenario: Scenario, folder: Path, command: str, defect: str = ""):
        self.scenario = scenario
        self.record = Record()
        self.nodes: list[NodeStandIn] = []
        self._folder, self._command, self._defect = folder, command, defect
        self._rng = random.Random(f"run {scenario.seed}")
        self._stop_sent_at = math.inf
        self._last_connect_s = self._rng.uniform(*LATEST_NEW_CONNECTION_S)

    async def run(self) -> None:
        """Play it; ends every process that it started."""
        busy = [
            subprocess.Popen([*ENDING_WITH_PARENT, sys.executable, "-c", BUSY_PROGRAM])
            for _ in range(self.scenario.busy_processes)
        ]
        try:
            with PortAllocator() as ports:
                await self._play(ports)
        finally:
            for process in busy:
                process.kill()
                process.wait()

    async def _play(self, ports: PortAllocator) -> None:
        self._port = ports.allocate()
        node_ports = [ports.allocate() for _ in self.scenario.nodes]
        discovery_port, platform_port = ports.allocate(), ports.allocate()
        configuration = self._configuration(node_ports, discovery_port, platform_port)
        self._control = self._make_control(
            configuration["known"]["members"], configuration["deployer"]["news"], self.record
        )
        async with anyio.create_task_group() as tasks:
            for number, (port, kind) in enumerate(zip(node_ports, self.scenario.nodes, strict=True)):
                node = NodeStandIn(number, self._build_of(number), kind, self.record, self.scenario.seed)
                self.nodes.append(node)
                await self._listen(tasks, port, node.serve)
            await self._listen(tasks, discovery_port, self._control.discovery.serve)
            await self._listen(tasks, platform_port, self._control.platform.serve)
            await self._play_processes(configuration)
            tasks.cancel_scope.cancel()

    def _make_control(self, members: list[dict[str, Any]], news: dict[str, Any], record: Record) -> ControlPlane:
        return ControlPlane(members, news, record)

    async def _listen(self, tasks: anyio.abc.TaskGroup, port: int, serve: Any) -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=port, backlog=1024)
        tasks.start_soon(listener.serve, serve)

    def _build_of(self, node: int) -> int:
        """The last node runs the build on trial."""
        return BUILD_ON_TRIAL if node == len(self.scenario.nodes) - 1 else RELEASED_BUILD

    def _configuration(self, node_ports: list[int], discovery_port: int, platform_port: int) -> dict[str, Any]:
        told: dict[str, Any] = json.loads(EXAMPLE_CONFIGURATION.read_text())
        example = told["known"]["members"][0]
        members = [
            example | {"id": f"s-{number}", "host_port": f"{HOST}:{port}", "revision_no": self._build_of(number)}
            for number, port in enumerate(node_ports)
        ]
        for one, limit_s in zip(told["settings"]["classes"], self.scenario.limits_s, strict=True):
            one["hardLimitUs"] = round(limit_s * 1e6)
            one["aimUs"] = min(one["aimUs"], round(limit_s * 5e5))
        told["settings"]["familyInfo"]["exposureCaps"] = [TRIAL_CAP, 1.0]
        told["listen"] = f"{HOST}:{self._port}"
        told["discovery"] = f"{HOST}:{discovery_port}"
        told["known"] = {"revision": 1, "complete": True, "members": members}
        told["deployer"]["address"] = f"{HOST}:{platform_port}"
        told["deployer"]["news"] = {
            "version": BUILD_ON_TRIAL,
            "step": 0,
            "status": "Progressing",
            "maxWeight": TRIAL_CAP,
            "observedAgoMs": 0,
        }
        return told

    def _shim(self, is_restart: bool) -> ShimSettings:
        scenario = self.scenario
        return ShimSettings(
            seed=scenario.seed,
            failing_calls=scenario.failing_calls,
            failing_accepts=0 if is_restart else scenario.failing_accepts,
            failing_call=scenario.failing_call,
            clock_steps=[(step.after_s, step.by_s) for step in scenario.clock_steps],
            defect=self._defect,
        )

    async def _play_processes(self, configuration: dict[str, Any]) -> None:
        first = BalancerProcess(self._command, configuration, self._folder, self._shim(False), self.record)
        second = BalancerProcess(self._command, configuration, self._folder, self._shim(True), self.record)
        try:
            first.start()
            if not await self._becomes_ready(first, "the first start"):
                return
            await self._play_traffic(first)
            self._control.is_silent = False
            second.start()
            await self._becomes_ready(second, "the restart")
        finally:
            first.kill()
            second.kill()

    async def _becomes_ready(self, process: BalancerProcess, what: str) -> bool:
        began = time.monotonic()
        while time.monotonic() < began + READY_LIMIT_S:
            with anyio.move_on_after(1.0):
                if await self._answers_empty_query():
                    self.record.ready_s.append(time.monotonic() - began)
                    return True
            if process.exit_code is not None:
                self.record.service_gaps.append(f"{what}: it ended with exit code {process.exit_code}")
                return False
            await anyio.sleep(PROBE_PAUSE_S)
        self.record.service_gaps.append(f"{what}: no empty query is answered within {READY_LIMIT_S:.0f} s")
        return False

    async def _answers_empty_query(self) -> bool:
        try:
            async with await anyio.connect_tcp(HOST, self._port) as stream:
                messages = MessageStream(stream)
                await stream.send(HELLO + b"".join(pgwire.query_message(b"")))
                while True:
                    tag, _ = await messages.receive()
                    if tag == b"I":
                        return True
        except (*GONE, OSError):
            return False

    async def _play_traffic(self, process: BalancerProcess) -> None:
        """Traffic, SIGTERM, and the kill at the earliest time; then what clients still read."""
        stop_at = time.monotonic() + WARM_UP_S
        load = MachineLoad()
        async with anyio.create_task_group() as tasks:
            for number, style in enumerate(self.scenario.clients):
                tasks.start_soon(self._client(style, f"{number:x}a").run)
            tasks.start_soon(self._play_faults, process, stop_at)
            tasks.start_soon(load.sample, process.process_id)
            if self.scenario.burst:
                tasks.start_soon(self._play_burst, stop_at + self.scenario.burst_after_s)
            await anyio.sleep_until(stop_at)
            self._stop_sent_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            kill_at = self._stop_sent_at + self.scenario.kill_after_s
            if await process.wait_until(kill_at):
                self.record.ended_by_itself_s = time.monotonic() - self._stop_sent_at
                self.record.exit_code = process.exit_code
            process.kill()
            await anyio.sleep(READ_LINGER_S)
            tasks.cancel_scope.cancel()
        self.record.held_up_s, self.record.loop_delay_s = load.held_up_s, load.loop_delay_s

    def _client(self, style: ClientStyle, prefix: str) -> Client:
        requests = RequestFactory(self.record, self.scenario.limits_s, prefix)
        rng = random.Random(f"{self.scenario.seed} {prefix}")
        return Client(style, self._port, self.record, requests, rng, self._may_connect)

    def _may_connect(self) -> bool:
        return time.monotonic() < self._stop_sent_at + self._last_connect_s

    async def _play_burst(self, at: float) -> None:
        await anyio.sleep_until(at)
        async with anyio.create_task_group() as tasks:
            for number in range(self.scenario.burst):
                tasks.start_soon(self._client(ClientStyle.SINGLE, f"{number:x}c").run_once)

    async def _play_faults(self, process: BalancerProcess, stop_at: float) -> None:
        async with anyio.create_task_group() as tasks:
            for timed in self.scenario.signals:
                tasks.start_soon(self._at, stop_at + timed.after_s, partial(process.send_signal, timed.number))
            for pause in self.scenario.pauses:
                begins_at = stop_at + pause.after_s
                tasks.start_soon(self._at, begins_at, partial(process.send_signal, signal.SIGSTOP))
                tasks.start_soon(self._at, begins_at + pause.length_s, partial(process.send_signal, signal.SIGCONT))
            if self.scenario.silent_discovery:
                tasks.start_soon(self._at, stop_at, self._silence_discovery)
            if math.isfinite(self.scenario.drained_node_after_s):
                drained_at = stop_at - WARM_UP_S + self.scenario.drained_node_after_s
                tasks.start_soon(self._at, drained_at, partial(self._control.drain, 0))

    def _silence_discovery(self) -> None:
        self._control.is_silent = True

    async def _at(self, at: float, action: Any) -> None:
        await anyio.sleep_until(at)
        action()
