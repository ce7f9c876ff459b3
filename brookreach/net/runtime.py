"""One balancer process: its components, built from the configuration, and their tasks from start to exit.

This module owns the order of the start and what a signal does. It handles no RPC, and does not listen before the
driver can receive one.
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
from brookreach.net.clock import Clock
from brookreach.net.discovery import DiscoveryClient
from brookreach.net.discovery_entries import JSON_ERRORS
from brookreach.net.drain import Drain
from brookreach.net.driver import Driver
from brookreach.net.limits import Limits, limits_from
from brookreach.net.listener import EXHAUSTED
from brookreach.net.platform import ROLLOUT_PHASES, PlatformClient, rollout_status_from
from brookreach.net.poller import Poller
from brookreach.net.report import LineWriterFactory, Report, run_logging_errors
from brookreach.net.shutdown import Shutdown
from brookreach.net.stream import parse_address
from brookreach.settings_object import SettingsError, SettingsObject

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The machine may have no descriptor or memory for a moment.
LISTEN_TRIES = 50
LISTEN_RETRY_S = 0.1
early_hangups: list[int] = []  # SIGHUPs that came before the components were built


class BalancerRuntime:
    """All components of one balancer process.

    Args:
        configuration: The content of its configuration file, completed from the environment.
        lines: By the balancer's name, what writes its log; plain text on standard error if None.

    Raises:
        StartupError: The configuration can't be used.
    """

    def __init__(self, configuration: Mapping[str, Any], lines: LineWriterFactory | None = None):
        try:
            top = SettingsObject(configuration, "configuration")
            deployer, known, settings = top.object("deployer"), top.object("known"), top.object("settings")
            balancer_settings = read_balancer_settings(read_seed(top), settings.values)
            self.limits: Limits = limits_from(top.value("limits"), settings.values)
            name = top.text("name")
            self.listen_address = top.text("listen")
            read_address(top, "listen")
            self.report = Report(name, self.limits.log_lines_per_s, lines(name) if lines else None)
            self.poller = Poller(self.limits.sockets_per_poll, self.log_fault)
            self.drain = Drain(self.limits)
            self.driver = Driver(balancer_settings, self.limits, self.report, Clock(), self.poller, self.drain)
            self.configuration = configuration
            self.is_stopping = False
            self.serving = anyio.Event()
            self.background_services: list[BackgroundService] = []  # that `brookreach run` adds
            self.before_exit: Callable[[], object] = list  # called before the signal receiver is closed
            rng = random.Random(balancer_settings.seed)
            self.discovery = DiscoveryClient(
                self.limits,
                self.report,
                settings.texts("zones"),
                settings.texts("skus"),
                rng,
                self.driver.on_node_list,
            )
            stages = len(balancer_settings.rollout.stage_shares)
            self.platform = PlatformClient(
                self.limits,
                self.report,
                [method.name for method in balancer_settings.methods],
                stages,
                read_address(deployer, "address"),
                rng,
                self.driver.enqueue,
            )
            self.discovery.set_address(read_address(top, "discovery"))
            news = deployer.object("news")
            _check_news(news, stages)
            self.initial_status: ifc.RolloutStatus = rollout_status_from(news.values, stages)
            self.driver.start_balancer()
            _check_known_nodes(known)
            self.discovery.apply_listing(known.values, cached=True)
        except SettingsError as error:
            raise StartupError(str(error)) from None
        except JSON_ERRORS as error:
            raise StartupError(f"configuration.known: {type(error).__name__} {error}") from None
        self.driver.enqueue(self.initial_status)

    def log_fault(self, trace: str) -> None:
        """Log the traceback of a defect."""
        self.report.log("fault", trace)

    def configure(self, configuration: Mapping[str, Any]) -> None:
        """Take from a new configuration where discovery and the platform are, both or neither.

        Raises StartupError for an address that can't be read.
        """
        try:
            discovery = parse_address(configuration["discovery"])
            platform = parse_address(configuration["deployer"]["address"])
        except JSON_ERRORS as error:
            raise StartupError(f"discovery or deployer.address: {type(error).__name__} {error}") from None
        fixed = ("name", "listen", "limits", "settings")
        changed = [name for name in fixed if configuration.get(name) != self.configuration.get(name)]
        self.report.log(
            "marshal",
            f"configuration read: discovery {discovery}, platform {platform}"
            + (f"; {', '.join(changed)} stay until a restart" if changed else ""),
        )
        self.discovery.set_address(discovery)
        self.platform.set_address(platform)

    def on_hangup(self) -> None:
        """Read the configuration again at SIGHUP. What can't be read changes nothing."""
        try:
            self.configure(read_configuration(os.environ))
        except StartupError as error:
            self.report.log("marshal", f"configuration not taken: {error}")
        except Exception:  # a defect must not end the RPCs under way
            self.log_fault(traceback.format_exc(limit=-2))

    async def run(self) -> None:
        """Serve until a signal ends the process. Raises StartupError if its address can't be listened on."""
        self.listen_error: OSError | None = None
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
            # Open until the exit: a signal that comes during the shutdown must not end it either.
            with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
                self._begin_drain_at_signal()
                # What the agent has counts as known from the start: no RPC is taken before it is heard.
                with anyio.move_on_after(self.limits.initial_list_wait_s):
                    await self.discovery.list_received.wait()
                if self.drain.has_begun:
                    self.report.log("marshal", "stops before it serves")
                    self._exit(tasks.cancel_scope)
                    return
                if not await self.listen():
                    tasks.cancel_scope.cancel()
                    return
                tasks.start_soon(self.sweep)
                self.report.log("marshal", f"serves on {self.listen_address}")
                self.serving.set()
                if early_hangups:
                    self.on_hangup()
                async for number in signals:
                    if number == signal.SIGHUP:
                        self.on_hangup()
                    elif not self.is_stopping:
                        self.is_stopping = True
                        for service in self.background_services:
                            service.begin_shutdown()
                        tasks.start_soon(self.stop, tasks.cancel_scope)

    def _begin_drain_at_signal(self) -> None:
        """Fix the end of a shutdown as its signal comes: the event loop, which the receiver wakes, may be late."""
        for number in STOP_SIGNALS:
            signal.signal(number, lambda _number, _frame: self.drain.begin(self.driver.standstills.earliest_input_at()))
            signal.siginterrupt(number, False)

    async def listen(self) -> bool:
        """Listen for clients; return whether that succeeded.

        It is tried again for a while if the machine has no room for the socket.
        """
        for _ in range(LISTEN_TRIES):
            try:
                self.clients = Clients(
                    self.limits, self.report, self.poller, self.driver, self.listen_address, self.drain
                )
            except OSError as error:
                self.listen_error = error
                if error.errno not in EXHAUSTED:
                    return False
                await anyio.sleep(LISTEN_RETRY_S)
            else:
                self.listen_error = None
                self.driver.on_queue_empty = self.clients.resume_reading
                return True
        return False

    async def stop(self, all_tasks: anyio.CancelScope) -> None:
        """Shut down, then cancel all tasks."""
        await Shutdown(self.drain, self.driver, self.clients, self.report).run()
        for service in self.background_services:
            await service.finish_shutdown()
        self._exit(all_tasks)

    def _exit(self, all_tasks: anyio.CancelScope) -> None:
        self.before_exit()
        all_tasks.cancel()

    async def sweep(self) -> None:
        """Close what has been idle or silent for long, again and again."""
        while True:
            await anyio.sleep(self.limits.sweep_interval_s)
            for sweep in (self.driver.nodes.sweep, self.clients.sweep):
                run_logging_errors(self.report, sweep)  # a defect must not end the RPCs under way


def _check_news(news: SettingsObject, stages: int) -> None:
    """Raises SettingsError, which names the key, for a rollout status that can't be read."""
    news.count("version")
    news.count("step", stages - 1)
    news.choice("status", ROLLOUT_PHASES)
    news.number("maxWeight")
    news.number("observedAgoMs")


def _check_known_nodes(known: SettingsObject) -> None:
    """Raises SettingsError, which names the key, for a list of nodes that can't be read."""
    known.count("revision")
    known.flag("complete")
    for member in known.objects("members"):
        member.text("id")
