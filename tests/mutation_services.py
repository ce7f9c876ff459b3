"""Independent readers of what discovery and the platform send, and a deployment in which both follow a script."""

import contextlib
import dataclasses
import json
import math
import random

import anyio

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.backoff import Backoff
from brookreach.net.discovery_entries import NODE_STATES
from brookreach.net.platform import ROLLOUT_PHASES
from brookreach.net.stream import parse_address
from brookreach.simulation.stand_ins import GONE, request

from .helpers import NEWS, SimulatedDeployment
from .mutants import CHUNKED, SILENCE, Mutant, chunk, http
from .mutation_reader import FAILED, ROW, asked, row, units
from .mutation_rig import Peer, ScriptedNode, say

MEMBER = {
    "id": "s-1",
    "host_port": "",
    "locality": "a",
    "flavor": "std",
    "cell": 0,
    "phase": "active",
    "size": 1.0,
    "up_since_ms": 0,
    "revision_no": 7,
}
COUNTS = {"version": 7, "kind": "look", "requests": 57, "failures": 2, "avgMs": 18.5, "observedAgoMs": 900}


def parse_number(one, least=-math.inf):
    """Read a number as the balancer may: also from a string, true or false."""
    if not least <= float(one) < math.inf:
        raise ValueError(one)
    return float(one)


def parse_int(one):
    return int(one)


def parse_listing(text, before):
    """Return the version and members after a list, or a change of `before`; None if it can't be read."""
    try:
        told, found = json.loads(text), {}
        for one in told["members"]:
            if not isinstance(one["id"], str) or one["id"] in found or one["locality"] not in ("a", "b"):
                return None
            if one["flavor"] != "std" or parse_number(one["size"]) <= 0.0:
                return None
            found[one["id"]] = (
                NODE_STATES[one["phase"]],
                parse_address(one["host_port"]),
                parse_number(one["up_since_ms"], 0.0),
                parse_int(one["revision_no"]),
                parse_int(one["cell"]),
                parse_number(one["size"]),
            )
        if not isinstance(told["complete"], bool):
            return None
        all_told = found if told["complete"] else {**before[1], **found}
        return parse_int(told["revision"]), {
            name: one for name, one in all_told.items() if one[0] != ifc.NodeState.GONE
        }
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
        return None


def held_list(deployment):
    """Return the version and members that the balancer holds."""
    told, endpoints = deployment.runtime.discovery, deployment.runtime.driver.nodes.endpoints
    found = {name: endpoints[at].listed for name, at in told.node_numbers.items()}
    return told.version, {
        name: (one.entry.state, one.address, one.entry.started_ms, one.entry.build, one.entry.cell, one.entry.size)
        for name, one in found.items()
    }


def parse_feed_line(text):
    """Return a line of the feed as the decisions get it; () if it carries no event, None if it can't be read."""
    try:
        told = json.loads(text) if text.strip() else {}  # an empty line is a sign of life only
        kind, one = told.get("type"), told.get("object")
        if kind == "ROLLOUT":
            cap = parse_number(one["maxWeight"], 0.0)
            if not 0 <= parse_int(one["step"]) < 2:
                return None
            return (
                "news",
                parse_int(one["step"]),
                cap,
                ROLLOUT_PHASES[one["status"]],
                parse_number(one["observedAgoMs"], 0.0),
                parse_int(one["version"]),
            )
        if kind == "SAMPLE":
            age, failed, count = (
                parse_number(one["observedAgoMs"], 0.0),
                parse_int(one["failures"]),
                parse_int(one["requests"]),
            )
            if not 0 <= failed <= count:
                return None
            return (
                "tally",
                parse_int(one["version"]),
                ("look", "book").index(one["kind"]),
                age,
                failed,
                count,
                parse_number(one["avgMs"], 0.0),
            )
        return ()
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError, RecursionError):
        return None


def event_fields(event):
    if isinstance(event, ifc.OutcomeCounts):
        return ("tally", event.build, event.method, event.age_ms, event.failed, event.count, event.mean_ms)
    return ("news", event.stage, event.cap, event.phase, event.age_ms, event.build)


class ScriptedHttp:
    """A server that answers each request with the `Mutant` that `answer(method, target, body)` returns."""

    def __init__(self, deployment, answer):
        self.deployment, self.answer = deployment, answer

    async def serve(self, stream):
        with contextlib.suppress(*GONE):
            async with stream:
                data = b""
                while True:
                    method, target, body, data = await request(stream, data)
                    said = self.answer(method, target, body)
                    await say(self.deployment, stream, said.pieces, said.ending)


class ScriptedServices(SimulatedDeployment):
    """A deployment whose discovery and platform follow a script and answer without waiting.

    `lists` are `(mutant, text, exact)`. A valid whole list follows each. When the balancer asks for that, it must hold
    what it had before or, if the mutant may be read, what `text` says; if `exact`, only the one that is right.
    """

    def __init__(self):
        super().__init__()
        self.node = ScriptedNode(self, row)
        self.discovery, self.platform = (
            ScriptedHttp(self, self.scripted_list),
            ScriptedHttp(self, self.scripted_platform_response),
        )
        self.events_before_feed = []  # the number of events so far when each feed was opened
        self.row_counts = [0, 0]  # RPCs answered with a row, all RPCs
        self.lists, self.feeds, self.events, self.violations = [], [], [], []
        self.allowed, self.mutant_name, self.feed_count, self.ballot_response, self.good = None, "", 0, None, False

    def members(self, **changed):
        one = MEMBER | {"host_port": self.at["node"]}
        return json.dumps({"revision": self.revision, "complete": True, "members": [one, one | {"id": "s-2"}]})

    def scripted_list(self, method, target, body):
        before = held_list(self)
        if self.allowed is not None and before not in self.allowed:
            self.violations.append(f"{self.mutant_name}: holds {before}, not one of {self.allowed}")
        self.good = not self.good
        told = self.runtime.discovery  # that versions go back is test_endings_versions.py's
        told.highest_version, told.behind_since, told.full_list_required = 0, math.inf, False
        if self.good or not self.lists:
            self.revision += 1
            self.mutant_name, text = "a good list", self.members()
            self.allowed = [parse_listing(text, before)]
            ending = SILENCE if not self.lists and "after=" in target else ""
            return Mutant("good", () if ending else (http(text.encode()),), ending)
        mutant, text, exact = self.lists.pop(0)
        read = None if text is None else parse_listing(text, before)
        self.mutant_name, self.allowed = mutant.name, [read] if exact and read else [before, read]
        return mutant

    def scripted_platform_response(self, method, target, body):
        if method == "POST":
            return self.ballot_response
        self.feed_count += 1
        self.events_before_feed.append(len(self.events))
        if self.feed_count <= len(self.feeds):
            return self.feeds[self.feed_count - 1]
        good = json.dumps({"type": "ROLLOUT", "object": NEWS}).encode() + b"\n"
        return Mutant("good", (http(chunk(good), headers=CHUNKED),), SILENCE)

    def shorten_timeouts(self):
        """Shorten the time-outs of silent connections, and record the platform's events."""
        runtime, on_event = self.runtime, self.runtime.platform.on_event
        runtime.discovery.limits = dataclasses.replace(runtime.limits, watch_wait_s=0.1, watch_grace_s=0.1)
        runtime.platform.limits = dataclasses.replace(runtime.limits, feed_silence_timeout_s=0.3, vote_timeout_s=0.2)
        runtime.platform.backoff = Backoff(0.001, 0.002, random.Random(1))

        def recorded(event):
            self.events.append(event)
            on_event(event)

        runtime.platform.on_event = recorded

    async def send_rpcs(self):
        """Send RPCs all the time and check the answers, nearly all rows, whatever discovery and the platform send.

        An RPC may be pushed back if both of its picks meet changes of the list, or no node is listed.
        """
        peer, at = await Peer.met(self), 0
        await peer.write(pgwire.startup_message("portal", "crm"))
        while True:
            at, begun = at + 1, len(peer.came)
            await peer.write(asked(b"SELECT data FROM facts /* id=%x,c=look,d=2900 */" % at))
            await peer.settled()
            said = units(peer.came[begun:], at == 1)
            self.row_counts[0] += [kind for kind, _ in said] == [ROW]
            self.row_counts[1] += 1
            if said and said[0] == (FAILED, b"53300"):
                said = [(ROW, b"")]
            if [kind for kind, _ in said] != [ROW]:
                self.violations.append(f"a client was answered {said} while: {self.mutant_name}")
            await anyio.sleep(0.005)
