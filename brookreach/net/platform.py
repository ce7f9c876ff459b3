"""The platform: votes as ballots, and the feed of what it tells unasked.

It owns the connections to the platform and each vote's own answer. It must never vote twice for one action of
the module, nor fill in an answer that did not come.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

import anyio

from brookreach import interface as ifc

from .discovery import BAD_JSON
from .http import LOST, Http, NotHttp
from .limits import Limits
from .report import Report

PHASES = {"Progressing": ifc.Phase.ON_TRIAL, "Aborting": ifc.Phase.GOING_BACK,
          "Healthy": ifc.Phase.RELEASED, "Aborted": ifc.Phase.WITHDRAWN}
VERDICTS = {ifc.Verdict.NONE: "blank", ifc.Verdict.ON: "go", ifc.Verdict.HOLD: "stay",
            ifc.Verdict.BACK: "stop"}
STATUSES = {429: ifc.Ending.FULL, 409: ifc.Ending.MOOT, 500: ifc.Ending.ERROR, 400: ifc.Ending.ERROR}


def news_from(told: Mapping[str, Any], reply: bool = False) -> ifc.RolloutNews:
    return ifc.RolloutNews(reply, ifc.Ending.OK, int(told["step"]), float(told["maxWeight"]),
                           PHASES[told["status"]], float(told["observedAgoMs"]), int(told["version"]))


class Platform:
    def __init__(self, limits: Limits, report: Report, methods: list[str], at: tuple[str, int],
                 put: Callable[[ifc.Event], None]):
        self.limits, self.report, self.at, self.put = limits, report, at, put
        self.methods = {name: number for number, name in enumerate(methods)}

    async def vote(self, vote: ifc.Vote) -> None:
        """One call on a connection of its own, so that no idle close and no other answer can meet it."""
        said = {"version": vote.build, "step": vote.stage, "vote": VERDICTS[vote.verdict]}
        ending, http = ifc.Ending.NO_CONNECT, None
        news = None
        with anyio.move_on_after(self.limits.reply_s):
            try:
                http = await Http.connect(self.at)
                status = await http.ask("POST", "/api/ballots", json.dumps(said).encode())
                body = await http.body(self.limits.body)
                if status == 200:
                    news = news_from(json.loads(body), reply=True)
                else:
                    ending = STATUSES.get(status, ifc.Ending.TIMEOUT)
                    if status not in (429, 409):
                        self.report.say("platform", f"vote answered {status} {body[:100]!r}")
            except (*LOST, *BAD_JSON) as error:
                self.report.say("platform", f"vote without answer: {type(error).__name__} {error}")
        if http is not None:
            await http.close()
        if news is None:
            if ending == ifc.Ending.NO_CONNECT and http is not None and http.written:
                ending = ifc.Ending.TIMEOUT  # it may have been carried out
            news = ifc.RolloutNews(True, ending, vote.stage, 0.0, ifc.Phase.ON_TRIAL, 0.0, vote.build)
        self.put(news)

    async def follow(self) -> None:
        """The feed, opened anew whenever it ends or no sign of life comes."""
        pause = self.limits.again_s
        while True:
            http = None
            try:
                with anyio.fail_after(self.limits.sign_s):
                    http = await Http.connect(self.at)
                    status = await http.ask("GET", "/api/feed")
                if status != 200:
                    raise NotHttp(f"status {status}")
                await self._lines(http)
            except (*LOST, TimeoutError) as error:
                self.report.say("platform", f"feed lost, opened again: {type(error).__name__} {error}")
            finally:
                if http is not None:
                    await http.close()
            await anyio.sleep(pause)
            pause = min(2.0 * pause, self.limits.again_most_s)

    async def _lines(self, http: Http) -> None:
        pieces, held = http.pieces(), b""
        while True:
            with anyio.fail_after(self.limits.sign_s):
                try:
                    held += await anext(pieces)
                except StopAsyncIteration:
                    return
            *lines, held = held.split(b"\n")
            if len(held) > self.limits.line:
                raise NotHttp("an endless line")
            for line in lines:
                self._line(line)

    def _line(self, line: bytes) -> None:
        try:
            told = json.loads(line) if line.strip() else {}
            kind = told.get("type")
            if kind == "ROLLOUT":
                self.put(news_from(told["object"]))
            elif kind == "SAMPLE":
                self.put(self._tally(told["object"]))
        except BAD_JSON as error:  # one line is lost, the rest still holds
            self.report.say("platform", f"feed line not understood: {type(error).__name__} {error}")

    def _tally(self, told: Mapping[str, Any]) -> ifc.Tally:
        return ifc.Tally(int(told["version"]), self.methods[told["kind"]], float(told["observedAgoMs"]),
                         int(told["failures"]), int(told["requests"]), float(told["avgMs"]))
