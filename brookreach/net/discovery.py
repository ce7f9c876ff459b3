"""Discovery: the whole list, then a watch that goes on from each answer.

It owns the ids' numbers and the version that the list stands at. It must never drop the last good list, and
never tell a change that discovery did not send.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from brookreach import interface as ifc

from .http import LOST, Http, NotHttp
from .limits import Limits
from .nodes import Listed
from .report import Report
from .stream import address

STATES = {"active": ifc.NodeState.READY, "leaving": ifc.NodeState.DRAINING, "left": ifc.NodeState.GONE}
PATH = "/registry/instances"
BAD_JSON = (KeyError, TypeError, ValueError, AttributeError)  # ValueError holds what json raises


class Discovery:
    def __init__(self, limits: Limits, report: Report, zones: list[str], kinds: list[str],
                 told: Callable[[ifc.NodeList, list[Listed]], None]):
        self.limits, self.report, self.told = limits, report, told
        self.zones = {name: at for at, name in enumerate(zones)}
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.numbers: dict[str, int] = {}
        self.version = 0

    def read(self, listing: Mapping[str, Any], cached: bool = False) -> None:
        """One list or change of it, as discovery words it; all of it is taken or nothing."""
        listed = [self._entry(one) for one in listing["members"]]
        whole, version = listing["complete"], int(listing["revision"])
        kind = ifc.ListKind.CACHED if cached else ifc.ListKind.FULL if whole else ifc.ListKind.DELTA
        self.version = version
        if listed or whole:
            self.told(ifc.NodeList(kind, version, tuple(one.entry for one in listed)), listed)

    def _entry(self, one: Mapping[str, Any]) -> Listed:
        entry = ifc.NodeEntry(
            node=self.numbers.setdefault(str(one["id"]), len(self.numbers) + 1),
            state=STATES[one["phase"]], started_ms=float(one["up_since_ms"]), build=int(one["revision_no"]),
            zone=self.zones[one["locality"]], cell=int(one["cell"]), kind=self.kinds[one["flavor"]],
            size=float(one["size"]))
        return Listed(entry, address(one["host_port"]))

    async def follow(self, at: tuple[str, int]) -> None:
        """Until cancelled. What is lost in between comes with the whole list that a new watch begins with."""
        pause = self.limits.again_s
        while True:
            try:
                http = None
                with anyio.fail_after(self.limits.answer_s):
                    http = await Http.connect(at)
                try:
                    await self._call(http, PATH, self.limits.answer_s)
                    pause = self.limits.again_s
                    while True:
                        wait = self.limits.watch_s
                        target = f"{PATH}?after={self.version}&wait_ms={round(wait * 1000.0)}"
                        await self._call(http, target, wait + self.limits.answer_s)
                finally:
                    await http.close()
            except (*LOST, TimeoutError, *BAD_JSON) as error:
                self.report.say("discovery", f"lost, asked again: {type(error).__name__} {error}")
            await anyio.sleep(pause)
            pause = min(2.0 * pause, self.limits.again_most_s)

    async def _call(self, http: Http, target: str, wait_s: float) -> None:
        with anyio.fail_after(wait_s):
            status = await http.ask("GET", target)
            body = await http.body(self.limits.body)
        if status != 200:
            raise NotHttp(f"status {status}")
        self.read(json.loads(body))
