"""Discovery: the whole list, then a watch that goes on from each answer.

It owns the ids' numbers and the version that the list stands at. It must never drop the last good list, and
never tell a change that discovery did not send.
"""

from __future__ import annotations

import json
import math
import random
import time
import traceback
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup

from brookreach import interface as ifc
from brookreach.net.backoff import Backoff
from brookreach.net.endpoint import ListedNode
from brookreach.net.http import CONNECTION_ERRORS, HttpConnection, NotHttp
from brookreach.net.limits import Limits
from brookreach.net.report import Report
from brookreach.net.stream import parse_address

NODE_STATES = {"active": ifc.NodeState.READY, "leaving": ifc.NodeState.DRAINING, "left": ifc.NodeState.GONE}
INSTANCES_PATH = "/registry/instances"
# What reading JSON raises where it is not worded as agreed: a ValueError holds json's own.
JSON_ERRORS = (LookupError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class LateWatch:
    """The wait until a watch is late, and whether the next one was opened then."""

    def __init__(self) -> None:
        self.waited, self.followed = anyio.CancelScope(), False


class DiscoveryClient:
    def __init__(
        self,
        limits: Limits,
        report: Report,
        zones: list[str],
        kinds: list[str],
        rng: random.Random,
        on_node_list: Callable[[ifc.NodeList, list[ListedNode]], None],
    ):
        self.limits, self.report, self.on_node_list = limits, report, on_node_list
        self.field_readers: dict[str, Callable[[Any], Any]] = {  # of an entry, each key that is read
            "phase": NODE_STATES.__getitem__,
            "up_since_ms": float,
            "size": float,
            "revision_no": int,
            "cell": int,
            "locality": {name: at for at, name in enumerate(zones)}.__getitem__,
            "flavor": {name: at for at, name in enumerate(kinds)}.__getitem__,
            "host_port": parse_address,
        }
        self.node_numbers: dict[str, int] = {}  # of the ids that are listed
        self.last_number = 0  # numbers given out so far
        self.version = 0
        self.ready_ids: set[str] = set()  # ids listed as ready
        # The highest version told; since when lists are below it; whether the whole list is to be asked for.
        self.highest_version, self.behind_since, self.full_list_required = 0, math.inf, False
        self.address: tuple[str, int] | None = None
        self.calls_scope: anyio.CancelScope | None = None  # all that is under way at the present address
        self.list_received = anyio.Event()  # a list that was asked for has come
        self.is_loss_reported = False  # since a call last served
        self.backoff = Backoff(limits.list_retry_min_s, limits.list_retry_max_s, rng)  # before it is asked again

    def apply_listing(self, listing: Mapping[str, Any], cached: bool = False) -> None:
        """One list or change of it, as discovery words it; all of it is taken or nothing.

        One that is older than what was told already, as another agent may give it, takes no drain back: ready
        is then what both call ready.
        """
        whole, version = listing["complete"], int(listing["revision"])
        if not isinstance(whole, bool):
            raise ValueError("complete is no boolean")
        ids = [one["id"] for one in listing["members"]]
        if any(not isinstance(name, str) for name in ids):
            raise ValueError("an id is no text")
        if len(set(ids)) < len(ids):
            raise ValueError("members: one id twice")
        numbers, made = ({} if whole else dict(self.node_numbers)), self.last_number
        listed, ready = [], set() if whole else self.ready_ids - set(ids)
        behind = not cached and version < self.highest_version
        for name, one in zip(ids, listing["members"], strict=True):
            number = self.node_numbers.get(name, 0)
            if not number:
                number = made = made + 1
            numbers[name] = number
            try:
                listed.append(self._entry(number, one, behind and name not in self.ready_ids))
            except JSON_ERRORS as error:
                raise ValueError(f"members: {name!r:.60}: {error}") from None
            if listed[-1].entry.state == ifc.NodeState.READY:
                ready.add(name)
            if listed[-1].entry.state == ifc.NodeState.GONE:
                del numbers[name]  # forgotten; should the id come back, it is a new node
        self.node_numbers, self.last_number, self.version, self.ready_ids = numbers, made, version, ready
        if behind:
            self.behind_since = min(self.behind_since, time.monotonic())
        elif not cached:
            self.highest_version, self.behind_since = version, math.inf
        self.full_list_required = self.full_list_required and not whole
        kind = ifc.ListKind.CACHED if cached else ifc.ListKind.FULL if whole else ifc.ListKind.DELTA
        if listed or whole:
            self.on_node_list(ifc.NodeList(kind, version, tuple(one.entry for one in listed)), listed)

    def _entry(self, number: int, one: Mapping[str, Any], drained: bool) -> ListedNode:
        told: dict[str, Any] = {}
        for key, read in self.field_readers.items():
            try:
                told[key] = read(one[key])
            except JSON_ERRORS as error:
                raise ValueError(f"{key}: {one.get(key)!r:.60}: {type(error).__name__}") from None
        started, size, state = told["up_since_ms"], told["size"], told["phase"]
        if not 0.0 <= started < math.inf or not 0.0 < size < math.inf:
            raise ValueError(f"up_since_ms {started} or size {size} out of range")
        if drained and state == ifc.NodeState.READY:
            state = ifc.NodeState.DRAINING
        entry = ifc.NodeEntry(
            node=number,
            state=state,
            started_ms=started,
            build=told["revision_no"],
            zone=told["locality"],
            cell=told["cell"],
            kind=told["flavor"],
            size=size,
        )
        return ListedNode(entry, told["host_port"])

    def set_address(self, at: tuple[str, int]) -> None:
        """Ask there from now on; what is under way elsewhere is given up."""
        if at != self.address:
            self.address = at
            self.backoff.reset()
            if self.calls_scope is not None:
                self.calls_scope.cancel()

    async def follow(self) -> None:
        """Until cancelled. What is lost in between comes with the whole list that a new watch begins with or,
        where one service has all marshals to serve, with what has changed since the list that is held."""
        while True:
            with anyio.CancelScope() as self.calls_scope:
                await anyio.sleep(self.backoff.next_delay_s())
                async with anyio.create_task_group() as calls:
                    calls.start_soon(self._connection, self.address, calls)

    async def _connection(
        self, at: tuple[str, int] | None, calls: TaskGroup, before: anyio.CancelScope | None = None
    ) -> None:
        """The calls on one connection, until it is lost or the next one goes on; `before` are those of the
        late one that it was opened beside, which is left once this one has heard."""
        with anyio.CancelScope() as all_calls:
            try:
                assert at is not None
                with anyio.fail_after(self.limits.full_list_timeout_s):
                    http = await HttpConnection.connect(at)
                try:
                    # Of one service: what has changed since, which costs it less.
                    if self.full_list_required or not (self.node_numbers and self.limits.has_central_discovery):
                        await self._call(http, INSTANCES_PATH, self.limits.full_list_timeout_s)
                    followed = False
                    while not followed:
                        version, begun = self.version, anyio.current_time()
                        followed = await self._watch(http, at, calls, all_calls)
                        if before is not None:
                            before.cancel()
                        self.backoff.reset()  # it serves: what breaks now is mended at once
                        self.is_loss_reported = False
                        if self.version == version and anyio.current_time() - begun < self.limits.retry_min_s:
                            await anyio.sleep(self.limits.retry_min_s)  # it does not wait: not asked in a spin
                finally:
                    await http.close()
            except (*CONNECTION_ERRORS, TimeoutError, *JSON_ERRORS) as error:
                if not self.is_loss_reported:  # one line, however often it is asked again
                    what = f"{type(error).__name__} {error}"
                    self.report.log("discovery", f"{at}: lost, asked again: {what}")
                self.is_loss_reported = True
            except Exception:  # a defect must not end the program: the next try may meet better bytes
                self.report.log("fault", traceback.format_exc(limit=-2))

    async def _watch(
        self, http: HttpConnection, at: tuple[str, int] | None, calls: TaskGroup, all_calls: anyio.CancelScope
    ) -> bool:
        """One watch; whether it was so late that the next one is open already, on a connection of its own."""
        wait, late = self.limits.watch_wait_s, LateWatch()
        if self.limits.late_watch_s < self.limits.watch_grace_s:
            calls.start_soon(self._beside, at, calls, all_calls, late)
        try:
            target = f"{INSTANCES_PATH}?after={self.version}&wait_ms={round(wait * 1000.0)}"
            await self._call(http, target, wait + self.limits.watch_grace_s)
        finally:
            late.waited.cancel()
        return late.followed

    async def _beside(
        self, at: tuple[str, int] | None, calls: TaskGroup, all_calls: anyio.CancelScope, late: LateWatch
    ) -> None:
        """Opens the next watch beside one that is late. Of a late one it can't be told whether it has fallen
        silent or waits in the queue of the service: left too soon it has used that for nothing, kept too long
        it is a drain not heard. Whichever answers, the other is the next watch: no call is made in vain."""
        with late.waited:
            await anyio.sleep(self.limits.watch_wait_s + self.limits.late_watch_s)
            late.followed = True
        if late.followed:
            await self._connection(at, calls, all_calls)

    async def _call(self, http: HttpConnection, target: str, wait_s: float) -> None:
        before = http.last_body
        with anyio.fail_after(wait_s):
            status = await http.request("GET", target)
            body = await http.read_body(self.limits.max_body_bytes)
        if status != 200:
            raise NotHttp(f"status {status}")
        listing = json.loads(body)
        if body == before and not listing["complete"] and listing["members"]:
            # A change has a version of its own: this is the last answer once more, and the call's own comes behind it.
            raise NotHttp("the same change twice")
        self.apply_listing(listing)
        self.list_received.set()
        if time.monotonic() - self.behind_since > self.limits.stale_list_period_s:  # it is not late: it counts anew
            self.highest_version, self.behind_since, self.full_list_required = 0, math.inf, True
            raise NotHttp(f"its versions stay below what was told: now {self.version}")
