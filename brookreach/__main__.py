"""The real marshal: `python -m brookreach`.

Owns the start and the end: reads the environment and the configuration, builds the parts, starts their tasks,
and ends them on SIGTERM. It must never touch an RPC, nor start to listen before the module can take one.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any

import anyio

from brookreach import facts
from brookreach import interface as ifc
from brookreach.net.clients import Clients
from brookreach.net.discovery import Discovery
from brookreach.net.driver import Clock, Driver
from brookreach.net.limits import Limits, limits_from
from brookreach.net.platform import Platform, news_from
from brookreach.net.report import Report
from brookreach.net.stream import Poller, address


class BadStart(Exception):
    """Why the marshal can't start, in one line."""


def configuration(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise BadStart("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except OSError as error:
        raise BadStart(f"PROXY_CONFIG can't be read: {error}") from None
    except ValueError as error:
        raise BadStart(f"{path} is not JSON: {error}") from None
    if not isinstance(told, dict):
        raise BadStart(f"{path} holds no object")
    for name in ("name", "listen", "discovery"):  # the environment says them too
        told.setdefault(name, environment.get(f"PROXY_{name.upper()}"))
    return told


class Parts:
    """All parts of one marshal, built from its configuration."""

    def __init__(self, told: Mapping[str, Any]):
        try:
            settings = told["settings"]
            start = facts.start_from(int(str(told["seed"]), 16), settings)
            self.limits: Limits = limits_from(told["limits"], settings)
            self.at, self.discovery_at = told["listen"], address(told["discovery"])
            address(self.at)
            self.report = Report(str(told["name"]), self.limits.lines)
            self.poller = Poller(self.limits.sockets)
            self.driver = Driver(start, self.limits, self.report, Clock(), self.poller)
            self.discovery = Discovery(self.limits, self.report, settings["zones"], settings["skus"],
                                       self.driver.told)
            self.platform = Platform(self.limits, self.report, [method.name for method in start.methods],
                                     address(told["deployer"]["address"]), self.driver.put)
            self.news: ifc.RolloutNews = news_from(told["deployer"]["news"])
            self.driver.begin()
            self.discovery.read(told["known"], cached=True)
        except facts.FactsError as error:
            raise BadStart(str(error)) from None
        except KeyError as error:
            raise BadStart(f"the configuration lacks or misnames {error}") from None
        except (TypeError, ValueError, AttributeError) as error:
            raise BadStart(f"the configuration is malformed: {error}") from None
        self.driver.put(self.news)

    async def run(self) -> None:
        try:
            clients = Clients(self.limits, self.report, self.poller, self.driver, self.at)
        except OSError as error:
            raise BadStart(f"can't listen on {self.at}: {error}") from None
        self.driver.between = clients.catch_up
        try:
            await self._serve(clients)
        finally:
            self.poller.close()

    async def _serve(self, clients: Clients) -> None:
        async with anyio.create_task_group() as tasks:
            self.driver.vote = lambda vote: tasks.start_soon(self.platform.vote, vote)
            for task in (self.driver.run, self.sweep, self.platform.follow):
                tasks.start_soon(task)
            tasks.start_soon(self.discovery.follow, self.discovery_at)
            self.report.say("marshal", f"serves on {self.at}")
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            self.report.say("marshal", f"stops, {len(self.driver.open)} RPCs under way")
            await clients.stop()
            self.report.say("marshal", f"ends, {len(self.driver.open)} RPCs unanswered")
            tasks.cancel_scope.cancel()


    async def sweep(self) -> None:
        while True:
            await anyio.sleep(self.limits.sweep_s)
            self.driver.nodes.sweep()


def main() -> int:
    try:
        parts = Parts(configuration(os.environ))
        gc.freeze()  # what stands now stays: collections need not look at it
        gc.set_threshold(parts.limits.garbage)
        anyio.run(parts.run)
    except BadStart as error:
        print(f"brookreach: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
