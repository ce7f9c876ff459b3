"""The client of the discovery service: reads the whole list of nodes, then follows its changes by long polls.

This module owns the numbers given to the service's ids and the version of the list held. It must never drop the last
good list, nor report a change that discovery did not send.
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
from brookreach.net.discovery_entries import JSON_ERRORS, field_readers, read_ids, read_member
from brookreach.net.endpoint import ListedNode
from brookreach.net.http import CONNECTION_ERRORS, HTTP_OK, HttpConnection, NotHttp
from brookreach.net.limits import Limits
from brookreach.net.list_call_failure import CallFailure, failure_of_call
from brookreach.net.list_retry import ListRetrySchedule
from brookreach.net.report import Report

INSTANCES_PATH = "/registry/instances"
MS_PER_S = 1000.0


class LateWatch:
    """The wait until a watch is late, and whether the next one was opened then."""

    def __init__(self) -> None:
        self.wait_scope = anyio.CancelScope()
        self.is_followed = False


class DiscoveryClient:
    """Keeps the list of nodes up to date.

    Args:
        limits: The time-outs of its calls.
        report: The log.
        zones: The names of the zones in the order of their numbers.
        kinds: The names of the kinds of machines, likewise.
        rng: The source of the jitter between calls that failed.
        on_node_list: Called with each list or change of it, as the decisions and as the connections need it.
    """

    def __init__(
        self,
        limits: Limits,
        report: Report,
        zones: list[str],
        kinds: list[str],
        rng: random.Random,
        on_node_list: Callable[[ifc.NodeList, list[ListedNode]], None],
    ):
        self.limits = limits
        self.report = report
        self.on_node_list = on_node_list
        self.field_readers = field_readers(zones, kinds)
        self.node_numbers: dict[str, int] = {}  # by id, of the nodes listed
        self.last_number = 0  # the highest number given to a node so far
        self.version = 0  # of the list held
        self.ready_ids: set[str] = set()  # ids listed as ready
        self.highest_version = 0  # taken over so far
        self.behind_since = math.inf  # monotonic time, in seconds, since which lists have been below that version
        self.full_list_required = False
        self.address: tuple[str, int] | None = None
        self.calls_scope: anyio.CancelScope | None = None  # of all calls to the present address
        self.list_received = anyio.Event()  # in answer to a call
        self.is_loss_reported = False  # since a call last succeeded
        self.retries = ListRetrySchedule(
            limits.list_retry_period_s, limits.list_overload_delay_s, limits.list_overload_max_delay_s, rng
        )

    def apply_listing(self, listing: Mapping[str, Any], cached: bool = False) -> None:
        """Take over a list or a change of it, in discovery's words: all of it or nothing.

        A list older than what was taken over already, as another agent may give it, takes no drain back: a node is
        then ready only if both call it ready.

        Args:
            listing: The list, as JSON.
            cached: It is the configuration's own, read at the start.

        Raises:
            ValueError: It can't be read; so do the other errors of `JSON_ERRORS`.
        """
        is_complete = listing["complete"]
        version = int(listing["revision"])
        if not isinstance(is_complete, bool):
            raise ValueError("complete is no boolean")
        ids = read_ids(listing["members"])
        numbers = {} if is_complete else dict(self.node_numbers)
        last_number = self.last_number
        listed = []
        ready_ids = set() if is_complete else self.ready_ids - set(ids)
        is_behind = not cached and version < self.highest_version
        for node_id, member in zip(ids, listing["members"], strict=True):
            number = self.node_numbers.get(node_id, 0)
            if not number:
                number = last_number = last_number + 1
            numbers[node_id] = number
            is_drained = is_behind and node_id not in self.ready_ids
            try:
                listed.append(read_member(self.field_readers, number, member, is_drained))
            except JSON_ERRORS as error:
                raise ValueError(f"members: {node_id!r:.60}: {error}") from None
            if listed[-1].entry.state == ifc.NodeState.READY:
                ready_ids.add(node_id)
            if listed[-1].entry.state == ifc.NodeState.GONE:
                del numbers[node_id]  # if the id is listed again, it is a new node
        self.node_numbers = numbers
        self.last_number = last_number
        self.version = version
        self.ready_ids = ready_ids
        if is_behind:
            self.behind_since = min(self.behind_since, time.monotonic())
        elif not cached:
            self.highest_version = version
            self.behind_since = math.inf
        self.full_list_required = self.full_list_required and not is_complete
        kind = ifc.ListKind.CACHED if cached else ifc.ListKind.FULL if is_complete else ifc.ListKind.DELTA
        if listed or is_complete:
            self.on_node_list(ifc.NodeList(kind, version, tuple(node.entry for node in listed)), listed)

    def set_address(self, address: tuple[str, int]) -> None:
        """Call this address from now on; calls to another one are given up."""
        if address != self.address:
            self.address = address
            self.retries.reset()
            if self.calls_scope is not None:
                self.calls_scope.cancel()

    async def follow(self) -> None:
        """Follow the list until cancelled.

        What is missed between two connections comes with the whole list that a new watch begins with or, if one
        service serves all balancers, with the changes since the list that is held.
        """
        while True:
            with anyio.CancelScope() as self.calls_scope:
                await anyio.sleep(self.retries.delay_s(anyio.current_time()))
                async with anyio.create_task_group() as calls:
                    calls.start_soon(self._connection, self.address, calls)

    async def _connection(
        self, address: tuple[str, int] | None, calls: TaskGroup, late_calls: anyio.CancelScope | None = None
    ) -> None:
        """Make the calls on one connection, until it is lost or the next one takes over.

        `late_calls` are those of the connection with a late watch beside which this one was opened; they are
        cancelled once this one has received an answer.
        """
        http = None
        with anyio.CancelScope() as all_calls:
            try:
                assert address is not None
                self.retries.call_started(anyio.current_time())
                with anyio.fail_after(self.limits.full_list_timeout_s):
                    http = await HttpConnection.connect(address)
                try:
                    # One service for all balancers is asked for the changes since, which costs it less.
                    if self.full_list_required or not (self.node_numbers and self.limits.has_central_discovery):
                        await self._call(http, INSTANCES_PATH, self.limits.full_list_timeout_s)
                    is_followed = False
                    while not is_followed:
                        version = self.version
                        began_at = anyio.current_time()
                        is_followed = await self._watch(http, address, calls, all_calls)
                        if late_calls is not None:
                            late_calls.cancel()
                        self.retries.call_succeeded()
                        self.is_loss_reported = False
                        if self.version == version and anyio.current_time() - began_at < self.limits.retry_min_s:
                            await anyio.sleep(self.limits.retry_min_s)  # it answers without waiting: avoid a busy loop
                finally:
                    await http.close()
            except (*CONNECTION_ERRORS, TimeoutError, *JSON_ERRORS) as error:
                now = anyio.current_time()
                failure = failure_of_call(error, http, now - self.retries.last_call_at, self.limits)
                self.retries.call_failed(failure, now)
                if not self.is_loss_reported:  # one line, however often it is called again
                    reason = f"{type(error).__name__} {error}"
                    self.report.log("discovery", f"{address}: lost, asked again: {reason}")
                self.is_loss_reported = True
            except Exception:  # a defect must not end the program: the next call may get better bytes
                self.retries.call_failed(CallFailure.UNREADABLE, anyio.current_time())
                self.report.log("fault", traceback.format_exc(limit=-2))

    async def _watch(
        self, http: HttpConnection, address: tuple[str, int] | None, calls: TaskGroup, all_calls: anyio.CancelScope
    ) -> bool:
        """Make one watch; return whether it was so late that the next one is open already, on its own connection."""
        watch_s = self.limits.watch_wait_s
        late = LateWatch()
        if self.limits.late_watch_s < self.limits.watch_grace_s:
            calls.start_soon(self._open_next_watch, address, calls, all_calls, late)
        try:
            target = f"{INSTANCES_PATH}?after={self.version}&wait_ms={round(watch_s * MS_PER_S)}"
            await self._call(http, target, watch_s + self.limits.watch_grace_s)
        finally:
            late.wait_scope.cancel()
        return late.is_followed

    async def _open_next_watch(
        self, address: tuple[str, int] | None, calls: TaskGroup, all_calls: anyio.CancelScope, late: LateWatch
    ) -> None:
        """Open the next watch beside one that is late.

        A late watch may have fallen silent, or may wait in the service's queue. Given up too soon, it has used the
        queue for nothing; kept too long, a drain is not heard of. Whichever of the two answers, the other one is the
        next watch, so that no call is wasted.
        """
        with late.wait_scope:
            await anyio.sleep(self.limits.watch_wait_s + self.limits.late_watch_s)
            late.is_followed = True
        if late.is_followed:
            await self._connection(address, calls, all_calls)

    async def _call(self, http: HttpConnection, target: str, timeout_s: float) -> None:
        """Make one call and take over its answer. Raises `CONNECTION_ERRORS`, `JSON_ERRORS` and TimeoutError."""
        last_body = http.last_body
        self.retries.call_started(anyio.current_time())
        with anyio.fail_after(timeout_s):
            status = await http.request("GET", target)
            body = await http.read_body(self.limits.max_body_bytes)
        if status != HTTP_OK:
            raise NotHttp(f"status {status}")
        listing = json.loads(body)
        if body == last_body and not listing["complete"] and listing["members"]:
            # Each change has a version of its own: this is the last answer again, and the call's own follows it.
            raise NotHttp("the same change twice")
        self.apply_listing(listing)
        self.list_received.set()
        if time.monotonic() - self.behind_since > self.limits.stale_list_period_s:
            # It is not late, it has started its versions anew.
            self.highest_version = 0
            self.behind_since = math.inf
            self.full_list_required = True
            raise NotHttp(f"its versions stay below what was told: now {self.version}")
