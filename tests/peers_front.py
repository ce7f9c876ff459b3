"""A complete balancer except for its tasks: client connections, driver, balancer and nodes, turned by the test."""

import socket
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.clients import Clients

from .driver_rig import DriverRig
from .helpers import ONCE, RecordedLog, method
from .node_messages import INSERTED, SELECTED, has_effect
from .peers_clients import LIMITS, ClientSocket

RELEASED = ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
METHODS = (method(name="look"), method(ONCE, name="book"))


def look(number, wait_ms, word="row"):
    """An idempotent query; a node answers the word `row` at once, and the word `hang` never."""
    return b"".join(pgwire.query_message(b"SELECT '%b' /* id=%d,c=look,d=%d */" % (word.encode(), number, wait_ms)))


def book(number, wait_ms, word="row"):
    """One that may not be repeated."""
    return b"".join(pgwire.query_message(b"INSERT '%b' /* id=%d,c=book,d=%d */" % (word.encode(), number, wait_ms)))


class BalancerRig(DriverRig):
    """`peers` of the base class are nodes; `client` makes a client."""

    def __init__(self, limits=None, **facts):
        super().__init__(METHODS, **facts)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.at = f"127.0.0.1:{free.getsockname()[1]}"
        self.clients = Clients(
            replace(LIMITS, **(limits or {})), RecordedLog(), self.poller, self.driver, self.at, self.driver.drain
        )
        self.driver.on_queue_empty = self.clients.resume_reading
        self.client_peers, self.is_welcoming, self.answer_counts = [], True, {}

    def listed(self, news=RELEASED, **listed):
        self.listing([peer.listed(**listed) for peer in self.peers], news)

    def turn(self):
        super().turn()
        for peer in self.peers:
            while peer.accept() is not None:
                pass
            for one in peer.accepted:
                self._serve(one)

    def _serve(self, one):
        """Answer on one connection as a node does."""
        if not self.is_welcoming or not one.started():
            return
        if one not in self.answer_counts:
            one.send(pgwire.STARTUP_RESPONSE)
        for text in one.statements()[self.answer_counts.setdefault(one, 0) :]:
            if b"'hang" in text:  # nor the queries after it: answers come in order
                return
            self.answer_counts[one] += 1
            if not has_effect(text):
                one.send(pgwire.COMMAND_RESPONSE if text else pgwire.EMPTY_QUERY_RESPONSE)
            elif b"'row" in text:
                one.send(SELECTED if text.startswith(b"SELECT") else INSERTED)

    def queries(self):
        """The ids of all RPCs that nodes were ever asked."""
        texts = [text for peer in self.peers for one in peer.accepted for text in one.queries()]
        return sorted(int(text.split(b"id=")[1].split(b",")[0]) for text in texts)

    def client(self):
        """A client that has had its startup response."""
        peer = ClientSocket(self)
        self.client_peers.append(peer)
        peer.send(pgwire.startup_message("portal", "crm"))
        peer.expect(pgwire.STARTUP_RESPONSE)
        return peer

    def close(self):
        for client in self.client_peers:
            client.sock.close()
        super().close()


def read_answers(peer, count):
    """Read so many answers of the balancer, in their order: `row`, or the SQLSTATE of an error."""
    out = []
    while len(out) < count:
        peer.rig.until(lambda: peer.read() or pgwire.READY_FOR_QUERY in peer.received or peer.end)
        answer, found, peer.received = peer.received.partition(pgwire.READY_FOR_QUERY)
        assert found, (peer.end, answer)
        out.append(pgwire.error_sqlstate(memoryview(answer)[5:]).decode() if answer[:1] == b"E" else "row")
    return out
