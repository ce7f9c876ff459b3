"""Known defects, planted into the sources of a balancer's process, by the names of `simulation/balancer/defects.py`."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any

from brookreach.interface import Action, NodeList, PushBack
from brookreach.net import limits, poller
from brookreach.net.client import Client
from brookreach.net.clients import ResumeAccepting
from brookreach.net.driver import Driver
from brookreach.net.endpoint import ListedNode
from brookreach.net.in_flight import InFlightQuery
from brookreach.net.node_connection import NodeConnection
from brookreach.net.open_rpcs import OpenRpcs
from brookreach.net.poller import Expirable, Poller
from brookreach.net.refusals import RefusedConnections
from brookreach.net.rollout_order import RolloutOrder
from brookreach.net.standstill import StandstillMonitor
from brookreach.net.statement import InvalidStatementError, parse_statement
from brookreach.net.stream import Stream
from brookreach.policy import node_registry, request_router

NEWS_DELAY_MS = 200.0  # long enough for all requests that a standstill leaves


def nothing(*_arguments: Any) -> None:
    """Do nothing: for steps that are left out."""


def stop_by_longest_limit() -> None:
    """The end of a stop is counted from the longest limit, also where the kill counts less."""
    vars(limits)["KILL_LIMIT_S"] = float("inf")


def stop_not_shortened() -> None:
    """What is open at the signal keeps its own time, and nothing answers it at the end."""
    Driver.shorten_all_deadlines = nothing  # type: ignore[method-assign, assignment]
    OpenRpcs.abort_all = nothing  # type: ignore[method-assign, assignment]


def accept_never_resumed() -> None:
    """After an error of accept the listener waits for a connection to end."""
    ResumeAccepting.expire = nothing  # type: ignore[method-assign, assignment]


def closes_what_was_read() -> None:
    """While it stops, a request with more time than is left ends its connection."""
    take = Client._handle_query

    def query(client: Client, body: memoryview) -> None:
        try:
            wait_s = parse_statement(body[:-1], client.clients.limits.max_comment_bytes).wait_ms / 1000.0
        except InvalidStatementError:
            wait_s = 0.0
        if client.clients.is_stopping and client.heard_at + wait_s > client.clients.drain.deadline:
            client.close_after_answers("more time than is left")
        else:
            take(client, body)

    Client._handle_query = query  # type: ignore[method-assign, assignment]


def full_house_closes() -> None:
    """A connection that finds no room is closed."""

    def close(_refusals: RefusedConnections, sock: socket.socket, _state: bytes, _text: str) -> None:
        sock.close()

    RefusedConnections.refuse = close  # type: ignore[method-assign, assignment]


def false_refusal() -> None:
    """What is given up after it may have run is refused as if it had not."""

    def refuse(rpc: int) -> Action:
        return PushBack(rpc, 0.0)

    vars(request_router)["Abort"] = refuse


def unsafe_retry() -> None:
    """Every request may have a further attempt."""

    def always(*_arguments: Any) -> bool:
        return True

    vars(request_router)["is_pick_allowed"] = always
    vars(node_registry)["is_pick_allowed"] = always


def goes_on_after_leave() -> None:
    """Nobody hears that a client has left."""
    Driver.cancel = nothing  # type: ignore[method-assign, assignment]


def pause_is_proof() -> None:
    """Each query on a connection is written as its first, with no barrier behind it; no node is found out."""
    send_query = NodeConnection.send_query

    def send_as_first(connection: NodeConnection, query: InFlightQuery) -> None:
        connection.query_count = 0
        send_query(connection, query)

    NodeConnection.send_query = send_as_first  # type: ignore[method-assign, assignment]
    NodeConnection._require_single_use = nothing  # type: ignore[method-assign, assignment]


DEFECTS: dict[str, Callable[[], None]] = {
    "stop-by-longest-limit": stop_by_longest_limit,
    "stop-not-shortened": stop_not_shortened,
    "accept-never-resumed": accept_never_resumed,
    "closes-what-was-read": closes_what_was_read,
    "full-house-closes": full_house_closes,
    "false-refusal": false_refusal,
    "unsafe-retry": unsafe_retry,
    "pause-is-proof": pause_is_proof,
    "goes-on-after-leave": goes_on_after_leave,
}


def requests_before_ends() -> None:
    """What a connection has sent is read before its end, at its turn."""
    Client.handle_events = Stream.handle_events  # type: ignore[method-assign]
    vars(poller)["ENDED"] = 0
    add_ready = Poller._add_ready

    def handle_at_its_turn(self: Poller) -> int:
        since, self.polled_at = self.polled_at, time.monotonic()
        for descriptor, mask in self.epoll.poll(0, max(self.max_sockets, len(self.watched))):
            if descriptor in self.watched:
                add_ready(self, self.watched[descriptor], mask, since)
        return self._handle_some(self.ready_preferred)

    Poller.poll_urgent = handle_at_its_turn  # type: ignore[method-assign]


def requests_before_news() -> None:
    """Requests that have come are decided on before a list of nodes that was read before them."""
    on_node_list = Driver.on_node_list

    class LateList(Expirable):
        def __init__(self, driver: Driver, listing: NodeList, listed: list[ListedNode]) -> None:
            self.driver, self.listing, self.listed = driver, listing, listed

        def expire(self) -> None:
            on_node_list(self.driver, self.listing, self.listed)

    def hear_late(driver: Driver, listing: NodeList, listed: list[ListedNode]) -> None:
        driver.schedule_timeout(NEWS_DELAY_MS, LateList(driver, listing, listed))

    Driver.on_node_list = hear_late  # type: ignore[method-assign, assignment]


def age_of_reading() -> None:
    """What is found after a standstill counts from then."""
    StandstillMonitor.check = lambda _monitor, _planned_s: False  # type: ignore[method-assign, assignment]


def last_read_state() -> None:
    """The state of a rollout that is read last holds."""
    RolloutOrder.newest = lambda _order, _now_ms, status: status  # type: ignore[method-assign, assignment]


def late_discovery() -> None:
    """After a call to the service for lists has failed, the next one comes late."""
    late_s = 10.0 * limits.LIST_TOLD_WITHIN_S
    vars(limits)["_service_retry_period_s"] = lambda _within_s: late_s


def stop_of_reading() -> None:
    """A stop counts from when its signal is handled."""
    StandstillMonitor.earliest_input_at = lambda _monitor: time.monotonic()  # type: ignore[method-assign, assignment]


ORDER_DEFECTS: dict[str, Callable[[], None]] = {
    "requests-before-ends": requests_before_ends,
    "requests-before-news": requests_before_news,
    "age-of-reading": age_of_reading,
    "last-read-state": last_read_state,
    "late-discovery": late_discovery,
    "stop-of-reading": stop_of_reading,
}


def plant(name: str) -> None:
    """Plant one. Raises KeyError for a name that is unknown here."""
    (DEFECTS | ORDER_DEFECTS)[name]()
