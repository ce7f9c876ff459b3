"""The real marshal: `python -m brookreach`.

Owns the start and the end: reads the environment and the configuration, builds the parts, starts their tasks,
and ends them on SIGTERM. It must never touch an RPC, nor start to listen before the module can take one.
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__" and len(sys.argv) < 2:
    # A SIGHUP while the rest is imported would end us. The configuration that it tells of is read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc
import os
import random
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import anyio

from brookreach import interface as ifc
from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.configuration import StartupError, read_address, read_configuration, read_seed
from brookreach.net.beside import Beside
from brookreach.net.clients import Clients
from brookreach.net.discovery import JSON_ERRORS, DiscoveryClient
from brookreach.net.drain import Drain
from brookreach.net.driver import Clock, Driver
from brookreach.net.limits import Limits, limits_from
from brookreach.net.listener import EXHAUSTED
from brookreach.net.platform import ROLLOUT_PHASES, PlatformClient, rollout_status_from
from brookreach.net.poller import Poller
from brookreach.net.report import Report, Writers, run_guarded
from brookreach.net.shutdown import Shutdown
from brookreach.net.stream import address
from brookreach.settings_object import SettingsError, SettingsObject


class Parts:
    """All parts of one marshal, built from its configuration."""

    def __init__(self, told: Mapping[str, Any], lines: Writers | None = None):
        try:
            top = SettingsObject(told, "configuration")
            deployer, known, settings = top.object("deployer"), top.object("known"), top.object("settings")
            start = read_balancer_settings(read_seed(top), settings.values)
            self.limits: Limits = limits_from(top.value("limits"), settings.values)
            name, self.at, _ = top.text("name"), top.text("listen"), read_address(top, "listen")
            self.report = Report(name, self.limits.lines, lines(name) if lines else None)
            self.poller = Poller(self.limits.sockets, self.fault)
            self.drain = Drain(self.limits)
            self.driver = Driver(start, self.limits, self.report, Clock(), self.poller, self.drain)
            self.told, self.stops, self.serving = told, False, anyio.Event()
            self.beside: list[Beside] = []  # what `run` switches on
            self.before_end: Callable[[], object] = list  # called as the signals' receiver is about to be closed
            chance = random.Random(start.seed)
            self.discovery = DiscoveryClient(
                self.limits, self.report, settings.texts("zones"), settings.texts("skus"), chance, self.driver.told
            )
            stages = len(start.rollout.stage_shares)
            self.platform = PlatformClient(
                self.limits,
                self.report,
                [method.name for method in start.methods],
                stages,
                read_address(deployer, "address"),
                chance,
                self.driver.put,
            )
            self.discovery.set_address(read_address(top, "discovery"))
            news = deployer.object("news")
            news.count("version"), news.count("step", stages - 1), news.choice("status", ROLLOUT_PHASES)
            news.number("maxWeight"), news.number("observedAgoMs")
            self.news: ifc.RolloutStatus = rollout_status_from(news.values, stages)
            self.driver.begin()
            known.count("revision"), known.flag("complete"), [m.text("id") for m in known.objects("members")]
            self.discovery.apply_listing(known.values, cached=True)
        except SettingsError as error:
            raise StartupError(str(error)) from None
        except JSON_ERRORS as error:
            raise StartupError(f"configuration.known: {type(error).__name__} {error}") from None
        self.driver.put(self.news)

    def fault(self, trace: str) -> None:
        self.report.say("fault", trace)

    def configure(self, told: Mapping[str, Any]) -> None:
        """A new configuration while serving: where discovery and the platform are, both or neither."""
        try:
            discovery, platform = address(told["discovery"]), address(told["deployer"]["address"])
        except JSON_ERRORS as error:
            raise StartupError(f"discovery or deployer.address: {type(error).__name__} {error}") from None
        fixed = ("name", "listen", "limits", "settings")
        other = [name for name in fixed if told.get(name) != self.told.get(name)]
        self.report.say(
            "marshal",
            f"configuration read: discovery {discovery}, platform {platform}"
            + (f"; {', '.join(other)} stay until a restart" if other else ""),
        )
        self.discovery.set_address(discovery)
        self.platform.set_address(platform)

    def hung_up(self) -> None:
        """SIGHUP. What can't be read changes nothing."""
        try:
            self.configure(read_configuration(os.environ))
        except StartupError as error:
            self.report.say("marshal", f"configuration not taken: {error}")
        except Exception:  # a defect must not end the RPCs under way
            self.fault(traceback.format_exc(limit=-2))

    async def run(self) -> None:
        self.taken: OSError | None = None  # why its address can't be listened on
        try:
            await self._serve()
        finally:
            self.poller.close()
        if self.taken is not None:
            raise StartupError(f"can't listen on {self.at}: {self.taken}")

    async def _serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.driver.vote = lambda vote: tasks.start_soon(self.platform.vote, vote)
            beside = [one.run for one in self.beside]
            for task in (self.driver.run, self.platform.follow, self.discovery.follow, *beside):
                tasks.start_soon(task)
            # Open to the end: a signal that comes while it stops must not end it either.
            with anyio.open_signal_receiver(*STOPS, signal.SIGHUP) as signals:
                self._note_stops()
                # What the agent has counts as told from our first moment: no RPC before it is heard.
                with anyio.move_on_after(self.limits.first_s):
                    await self.discovery.list_received.wait()
                if self.drain.has_begun:
                    self.report.say("marshal", "stops before it serves")
                    self._end(tasks.cancel_scope)
                    return
                if not await self.listen():
                    tasks.cancel_scope.cancel()
                    return
                tasks.start_soon(self.sweep)
                self.report.say("marshal", f"serves on {self.at}")
                self.serving.set()
                if EARLY:
                    self.hung_up()
                async for one in signals:
                    if one == signal.SIGHUP:
                        self.hung_up()
                    elif not self.stops:
                        self.stops = True
                        for one_beside in self.beside:
                            one_beside.stops()
                        tasks.start_soon(self.stop, tasks.cancel_scope)

    def _note_stops(self) -> None:
        """Fix the end of a stop as its signal comes: the loop, which the receiver wakes, may be late."""
        for number in STOPS:
            signal.signal(number, lambda _number, _frame: self.drain.begin())
            signal.siginterrupt(number, False)

    async def listen(self) -> bool:
        """Whether it listens; tried again for a while where the machine has no room for the socket."""
        for _ in range(LISTEN_TRIES):
            try:
                self.clients = Clients(self.limits, self.report, self.poller, self.driver, self.at, self.drain)
            except OSError as error:
                self.taken = error
                if error.errno not in EXHAUSTED:
                    return False
                await anyio.sleep(LISTEN_AGAIN_S)
            else:
                self.taken = None
                self.driver.between = self.clients.catch_up
                return True
        return False

    async def stop(self, all_tasks: anyio.CancelScope) -> None:
        await Shutdown(self.drain, self.driver, self.clients, self.report).run()
        for one in self.beside:
            await one.ends()
        self._end(all_tasks)

    def _end(self, all_tasks: anyio.CancelScope) -> None:
        self.before_end()
        all_tasks.cancel()

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(self.limits.sweep_s)
            for sweep in (self.driver.nodes.sweep, self.clients.sweep):
                run_guarded(self.report, sweep)  # a defect must not end the RPCs under way


STOPS = (signal.SIGTERM, signal.SIGINT)
LISTEN_TRIES, LISTEN_AGAIN_S = 50, 0.1  # a machine may have no descriptor or memory for a moment
EARLY: list[int] = []  # SIGHUPs that came before the parts were there


def block_signals() -> None:
    """Once nothing is owed any more, a further signal must not change how the process ends."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {*STOPS, signal.SIGHUP})


def serve(
    lines: Writers | None = None, record: Path | None = None, beside: Callable[[Parts], Beside] | None = None
) -> int:
    """One marshal to its end; `lines` makes by its name what writes its log, if not plain; `record` is where
    the verdicts on its last builds are kept, if anywhere; `beside` makes a task that runs beside its own.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: EARLY.append(number))
    try:
        parts = Parts(read_configuration(os.environ), lines)
        if record is not None:
            from brookreach.verdict.keep import keep

            keeper = keep(parts, record)
        if beside is not None:
            parts.beside.append(beside(parts))
        parts.before_end = block_signals
        gc.freeze()  # what stands now stays: collections need not look at it
        gc.set_threshold(parts.limits.garbage)
        anyio.run(parts.run)
        if record is not None:
            keeper.save()
    except StartupError as error:
        print(f"brookreach: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Without a word the marshal, as the platform starts it; with words the command line."""
    if len(sys.argv) < 2:
        return serve()
    from brookreach.cli.main import main as commands

    commands(prog_name="brookreach")
    return 0


if __name__ == "__main__":
    sys.exit(main())
