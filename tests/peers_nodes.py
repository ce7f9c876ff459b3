"""Fake nodes that a test scripts byte by byte, and rigs that send picks to them, in one thread over real sockets.

Nothing here waits for a fixed time: `until` runs the poller until a condition holds, and fails after 10 s.
"""

import heapq
import socket
import struct
import time
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import ListedNode
from brookreach.net.in_flight import PickResult
from brookreach.net.limits import limits_from
from brookreach.net.nodes import NodeConnectionPool
from brookreach.net.poller import Poller

from .helpers import SETTINGS, RecordedLog
from .node_messages import has_effect, make_statement


class PollerDriven:
    """Base of what runs a poller until a condition holds."""

    def turn(self):
        raise NotImplementedError

    def until(self, condition):
        end = time.monotonic() + 10.0
        while not condition():
            assert time.monotonic() < end, "the condition did not hold within 10 s"
            self.turn()


class FakeNode:
    """A node that listens; the test accepts its connections one by one."""

    def __init__(self, poller_driven, number=1, backlog=64):
        self.poller_driven = poller_driven
        self.number = number
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.accepted = []

    def listed(self, build=1, state=ifc.NodeState.READY, zone=0, cell=0, started=0.0):
        entry = ifc.NodeEntry(self.number, state, started, build, zone, cell, 0, 1.0)
        return ListedNode(entry, self.sock.getsockname())

    def accept(self):
        """Return the next connection, or None if there is none."""
        try:
            sock = self.sock.accept()[0]
        except BlockingIOError:
            return None
        self.accepted.append(FakeNodeConnection(self.poller_driven, sock))
        return self.accepted[-1]

    def accept_one(self, welcome=True):
        """Wait for the next connection and its startup message; send the startup response if `welcome`."""
        found = []
        self.poller_driven.until(lambda: found or found.extend(filter(None, [self.accept()])))
        one = found[0]
        self.poller_driven.until(one.started)
        if welcome:
            one.send(pgwire.STARTUP_RESPONSE)
        return one

    def close(self):
        self.sock.close()
        for one in self.accepted:
            one.sock.close()


class FakeNodeConnection:
    """The fake node's end of one connection."""

    def __init__(self, poller_driven, sock):
        self.poller_driven = poller_driven
        self.sock = sock
        self.data = b""  # what has arrived behind the startup message
        self.ended = False
        self.has_started = False
        self.answered = 0  # statements that `reply` has answered
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self):
        try:
            part = self.sock.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            part = b""
        self.ended = self.ended or not part
        self.data += part

    def started(self):
        if not self.has_started:
            self.read()
            self.has_started = len(self.data) >= 4 and len(self.data) >= int.from_bytes(self.data[:4], "big")
            if self.has_started:
                self.data = self.data[int.from_bytes(self.data[:4], "big") :]
        return self.has_started

    def statements(self):
        """Return the texts of all complete queries that have arrived, including those without effect."""
        self.read()
        out, rest = [], self.data
        while len(rest) >= 5 and len(rest) > (length := int.from_bytes(rest[1:5], "big")):
            out.append(rest[5:length])
            rest = rest[1 + length :]
        return out

    def queries(self):
        """Return the texts of the complete queries that have an effect."""
        return [text for text in self.statements() if has_effect(text)]

    def reply(self, data):
        """Answer in order, as a node does: `data` for the oldest unanswered query, then the queries without effect that
        follow it."""
        self.send(data)
        self.send(b"".join(self.harmless_replies()))

    def harmless_replies(self):
        """Return the replies to the queries behind the last answered one, up to the next that has an effect."""
        self.answered += 1
        texts, replies = self.statements()[self.answered :], []
        while texts and not has_effect(texts[0]):
            replies.append(pgwire.COMMAND_RESPONSE if texts.pop(0) else pgwire.EMPTY_QUERY_RESPONSE)
        self.answered += len(replies)
        return replies

    def wait_for_queries(self, count=1):
        self.poller_driven.until(lambda: len(self.queries()) >= count)

    def send(self, data):
        self.sock.sendall(data)

    def reset(self):
        """End the connection with RST instead of FIN."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def wait_closed(self):
        """Wait until the balancer has closed its side."""
        self.poller_driven.until(lambda: self.read() or self.ended)


class ConnectionPoolRig(PollerDriven):
    """A connection pool with one fake node and no driver; `results` holds the picks' results by RPC and index."""

    def __init__(self, **other):
        self.limits = replace(limits_from({"cores": 1, "memory_mb": 192, "sockets": 256}, SETTINGS), **other)
        self.report = RecordedLog()
        self.faults = []
        self.timeouts = []  # a heap of the time, the order, and what expires then
        self.results = {}
        self.unwanted = set()  # RPCs whose clients have gone
        self.poller = Poller(64, self.faults.append)
        self.nodes = NodeConnectionPool(self.limits, self.report, self.poller, self)
        self.node = FakeNode(self)
        self.nodes.apply_node_list(ifc.ListKind.FULL, [self.node.listed()])

    def enqueue(self, event):
        if isinstance(event, PickResult):
            assert (event.rpc_id, event.pick_index) not in self.results, "two outcomes of one pick"
            self.results[event.rpc_id, event.pick_index] = event

    def is_open(self, rpc):
        return rpc not in self.unwanted

    def schedule_timeout(self, delay_ms, what):
        heapq.heappush(self.timeouts, (time.monotonic() + delay_ms / 1000.0, len(self.timeouts), id(what), what))

    def turn(self):
        self.poller.poll()
        while self.timeouts and self.timeouts[0][0] <= time.monotonic():
            heapq.heappop(self.timeouts)[3].expire()

    def pick(self, rpc, nth=0, write=False, wait_ms=3000.0, code="7f", **more):
        self.nodes.start_pick(ifc.Pick(rpc, 1, wait_ms, **more), nth, make_statement(write, rpc, code=code))

    def outcome(self, rpc, nth=0):
        self.until(lambda: (rpc, nth) in self.results)
        return self.results[rpc, nth].outcome

    def idle_count(self):
        """Return the number of idle connections to the node."""
        return len(self.nodes.endpoints[1].idle_connections)

    def connection(self):
        """Return the only connection to the node."""
        return next(one for one in self.poller.watched.values() if getattr(one, "endpoint", None))

    def close(self):
        self.poller.close()
        self.node.close()
        assert not self.faults, self.faults
