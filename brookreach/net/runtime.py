"""One balancer process: its parts, built from its configuration, and their tasks from the start to the end.

It owns the order of the start and what a signal does. It must never touch an RPC, nor start to listen before the
driver can take one.
"""

from __future__ import annotations

import os
import random
import signal
import traceback
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from brookreach import interface as ifc
from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.configuration import StartupError, read_address, read_configuration, read_seed
from brookreach.net.background_service import BackgroundService
from brookreach.net.clients import Clients
from brookreach.net.discovery import DiscoveryClient
from brookreach.net.discovery_entries import JSON_ERRORS
from brookreach.net.drain import Drain
from brookreach.net.driver import Clock, Driver
from brookreach.net.limits import Limits, limits_from
from brookreach.net.listener import EXHAUSTED
from brookreach.net.platform import ROLLOUT_PHASES, PlatformClient, rollout_status_from
from brookreach.net.poller import Poller
from brookreach.net.report import LineWriterFactory, Report, run_logging_errors
from brookreach.net.shutdown import Shutdown
from brookreach.net.stream import parse_address
from brookreach.settings_object import SettingsError, SettingsObject

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
LISTEN_TRIES, LISTEN_AGAIN_S = 50, 0.1  # a machine may have no descriptor or memory for a moment
early_hangups: list[int] = []  # SIGHUPs that came before the parts were there


class BalancerRuntime:
    """All parts of one marshal, built from its configuration."""

    def __init__(self, told: Mapping[str, Any], lines: LineWriterFactory | None = None):
        try:
            top = SettingsObject(told, "configuration")
            deployer, known, settings = top.object("deployer"), top.object("known"), top.object("settings")
            start = read_balancer_settings(read_seed(top), settings.values)
            self.limits: Limits = limits_from(top.value("limits"), settings.values)
            name, self.listen_address, _ = top.text("name"), top.text("listen"), read_address(top, "listen")
            self.report = Report(name, self.limits.log_lines_per_s, lines(name) if lines else None)
            self.poller = Poller(self.limits.sockets_per_turn, self.log_fault)
            self.drain = Drain(self.limits)
            self.driver = Driver(start, self.limits, self.report, Clock(), self.poller, self.drain)
            self.configuration, self.stops, self.serving = told, False, anyio.Event()
            self.background_services: list[BackgroundService] = []  # what `run` switches on
            self.before_exit: Callable[[], object] = list  # called as the signals' receiver is about to be closed
            chance = random.Random(start.seed)
            self.discovery = DiscoveryClient(
                self.limits,
                self.report,
                settings.texts("zones"),
                settings.texts("skus"),
                chance,
                self.driver.on_node_list,
            )
            stages = len(start.rollout.stage_shares)
            self.platform = PlatformClient(
                self.limits,
                self.report,
                [method.name for method in start.methods],
                stages,
                read_address(deployer, "address"),
                chance,
                self.driver.enqueue,
            )
            self.discovery.set_address(read_address(top, "discovery"))
            news = deployer.object("news")
            news.count("version"), news.count("step", stages - 1), news.choice("status", ROLLOUT_PHASES)
            news.number("maxWeight"), news.number("observedAgoMs")
            self.initial_status: ifc.RolloutStatus = rollout_status_from(news.values, stages)
            self.driver.start_balancer()
            known.count("revision"), known.flag("complete"), [m.text("id") for m in known.objects("members")]
            self.discovery.apply_listing(known.values, cached=True)
        except SettingsError as error:
            raise StartupError(str(error)) from None
        except JSON_ERRORS as error:
            raise StartupError(f"configuration.known: {type(error).__name__} {error}") from None
        self.driver.enqueue(self.initial_status)

    def log_fault(self, trace: str) -> None:
        self.report.log("fault", trace)

    def configure(self, told: Mapping[str, Any]) -> None:
        """A new configuration while serving: where discovery and the platform are, both or neither."""
        try:
            discovery, platform = parse_address(told["discovery"]), parse_address(told["deployer"]["address"])
        except JSON_ERRORS as error:
            raise StartupError(f"discovery or deployer.address: {type(error).__name__} {error}") from None
        fixed = ("name", "listen", "limits", "settings")
        other = [name for name in fixed if told.get(name) != self.configuration.get(name)]
        self.report.log(
            "marshal",
            f"configuration read: discovery {discovery}, platform {platform}"
            + (f"; {', '.join(other)} stay until a restart" if other else ""),
        )
        self.discovery.set_address(discovery)
        self.platform.set_address(platform)

    def on_hangup(self) -> None:
        """SIGHUP. What can't be read changes nothing."""
        try:
            self.configure(read_configuration(os.environ))
        except StartupError as error:
            self.report.log("marshal", f"configuration not taken: {error}")
        except Exception:  # a defect must not end the RPCs under way
            self.log_fault(traceback.format_exc(limit=-2))

    async def run(self) -> None:
        self.listen_error: OSError | None = None  # why its address can't be listened on
        try:
            await self._serve()
        finally:
            self.poller.close()
        if self.listen_error is not None:
            raise StartupError(f"can't listen on {self.listen_address}: {self.listen_error}")

    async def _serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.driver.vote = lambda vote: tasks.start_soon(self.platform.vote, vote)
            background_tasks = [service.run for service in self.background_services]
            for task in (self.driver.run, self.platform.follow, self.discovery.follow, *background_tasks):
                tasks.start_soon(task)
            # Open to the end: a signal that comes while it stops must not end it either.
            with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
                self._note_stops()
                # What the agent has counts as told from our first moment: no RPC before it is heard.
                with anyio.move_on_after(self.limits.initial_list_wait_s):
                    await self.discovery.list_received.wait()
                if self.drain.has_begun:
                    self.report.log("marshal", "stops before it serves")
                    self._end(tasks.cancel_scope)
                    return
                if not await self.listen():
                    tasks.cancel_scope.cancel()
                    return
                tasks.start_soon(self.sweep)
                self.report.log("marshal", f"serves on {self.listen_address}")
                self.serving.set()
                if early_hangups:
                    self.on_hangup()
                async for one in signals:
                    if one == signal.SIGHUP:
                        self.on_hangup()
                    elif not self.stops:
                        self.stops = True
                        for service in self.background_services:
                            service.begin_shutdown()
                        tasks.start_soon(self.stop, tasks.cancel_scope)

    def _note_stops(self) -> None:
        """Fix the end of a stop as its signal comes: the loop, which the receiver wakes, may be late."""
        for number in STOP_SIGNALS:
            signal.signal(number, lambda _number, _frame: self.drain.begin())
            signal.siginterrupt(number, False)

    async def listen(self) -> bool:
        """Whether it listens; tried again for a while where the machine has no room for the socket."""
        for _ in range(LISTEN_TRIES):
            try:
                self.clients = Clients(
                    self.limits, self.report, self.poller, self.driver, self.listen_address, self.drain
                )
            except OSError as error:
                self.listen_error = error
                if error.errno not in EXHAUSTED:
                    return False
                await anyio.sleep(LISTEN_AGAIN_S)
            else:
                self.listen_error = None
                self.driver.on_queue_empty = self.clients.resume_reading
                return True
        return False

    async def stop(self, all_tasks: anyio.CancelScope) -> None:
        await Shutdown(self.drain, self.driver, self.clients, self.report).run()
        for service in self.background_services:
            await service.finish_shutdown()
        self._end(all_tasks)

    def _end(self, all_tasks: anyio.CancelScope) -> None:
        self.before_exit()
        all_tasks.cancel()

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(self.limits.sweep_interval_s)
            for sweep in (self.driver.nodes.sweep, self.clients.sweep):
                run_logging_errors(self.report, sweep)  # a defect must not end the RPCs under way
