"""Client connections without the driver: real sockets on loopback; the test itself calls each turn of the loop."""

import contextlib
import dataclasses
import fcntl
import select
import socket
import struct
import termios
import time
import unittest

from brookreach.net import pgwire
from brookreach.net.clients import Clients
from brookreach.net.drain import Drain
from brookreach.net.limits import limits_from
from brookreach.net.poller import Poller
from brookreach.net.statement import InvalidStatementError
from brookreach.net.stream import parse_address

from .helpers import SETTINGS, RecordedLog

HELLO = pgwire.startup_message("portal", "crm")
LIMITS = limits_from({"cores": 1.0, "memory_mb": 64, "sockets": 256}, SETTINGS)


def query(number, wait_ms=900, word="row"):
    return b"".join(pgwire.query_message(b"SELECT '%b' /* id=%d,c=look,d=%d */" % (word.encode(), number, wait_ms)))


class RecordingReceiver:
    """Receives RPCs in place of the driver, under the ids that clients gave them; the test answers them."""

    def __init__(self):
        self.answers = {}
        self.cancelled = []
        self.received = []
        self.timeouts = []
        self.received_at = {}  # the earliest time at which each may have arrived
        self.due_at = {}  # when the answer of each is due

    def receive(self, statement, answer, arrived_at):
        if statement.method != b"look":
            raise InvalidStatementError(b"22023", f"unknown class {statement.method!r}")
        number = int(statement.name)
        self.answers[number] = answer
        self.received.append(number)
        self.received_at[number] = arrived_at
        self.due_at[number] = arrived_at + statement.wait_ms / 1000.0
        return number

    def shorten_deadline(self, rpc_id, due):
        assert rpc_id in self.answers and due < self.due_at[rpc_id], "only an open RPC becomes due, and sooner"
        self.due_at[rpc_id] = due

    def available_links(self):
        return 0

    def schedule_timeout(self, delay_ms, target):
        self.timeouts.append((time.monotonic() + delay_ms / 1000.0, target))

    def fire_timeouts(self):
        """Expire what is due."""
        due = [target for at, target in self.timeouts if at <= time.monotonic()]
        self.timeouts = [timeout for timeout in self.timeouts if timeout[1] not in due]
        for target in due:
            target.expire()

    def cancel(self, rpc_id, why):
        self.cancelled.append(rpc_id)

    def answer(self, number, value=None):
        self.answers.pop(number).answer([row(value or b"%d" % number)])


def row(value):
    return b"".join(pgwire.encode_message(b"D", value)) + pgwire.READY_FOR_QUERY


class ClientConnectionsRig:
    """A balancer's listener with its clients; nothing happens except in `turn`."""

    def __init__(self, **other):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.at = f"127.0.0.1:{free.getsockname()[1]}"
        self.faults, self.receiver = [], RecordingReceiver()
        self.poller = Poller(64, self.faults.append)
        limits = dataclasses.replace(LIMITS, **other)
        self.clients = Clients(limits, RecordedLog(), self.poller, self.receiver, self.at, Drain(limits))
        self.peers = []

    def turn(self):
        """Do what the driver does in one turn; return whether there was anything to do."""
        found = self.poller.poll()
        self.receiver.fire_timeouts()
        return bool(self.clients.resume_reading()) or bool(found)

    def until(self, condition):
        """Turn until the condition holds."""
        deadline = time.monotonic() + 10.0
        while not condition():
            assert time.monotonic() < deadline, "the condition never held"
            self.turn()

    def run_until_idle(self):
        """Turn until there is nothing left to do, which never comes if a socket is ready without need."""
        for _ in range(2000):
            if not self.turn():
                return
        raise AssertionError("the poller never comes to rest")

    def peer(self, data=HELLO, **options):
        peer = ClientSocket(self, **options)
        self.peers.append(peer)
        peer.send(data)
        return peer

    def started_peer(self, **options):
        """A client that has had its startup response."""
        peer = self.peer(**options)
        peer.expect(pgwire.STARTUP_RESPONSE)
        return peer

    def close(self):
        for peer in self.peers:
            peer.sock.close()
        self.poller.close()


class ClientSocket:
    """The test's end of a client connection."""

    def __init__(self, rig, window=0):
        self.rig, self.received, self.end = rig, b"", None
        self.sock = socket.socket()
        if window:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.connect(parse_address(rig.at))
        self.sock.setblocking(False)
        self.name = self.sock.getsockname()

    @property
    def client(self):
        """The balancer's end, once it is accepted."""
        for client in self.rig.clients.connected:
            with contextlib.suppress(OSError):
                if client.sock.getpeername() == self.name:
                    return client
        return None

    def send(self, data):
        self.sock.setblocking(True)
        self.sock.sendall(data)
        self.sock.setblocking(False)

    def shrink_send_buffer(self):
        """Let the kernel hold little of an answer that its client does not take."""
        self.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    def send_unread(self, data):
        """Send it, and wait until it lies in the kernel on the balancer's side, which does not read it."""
        self.send(data)
        assert select.select([self.client.sock], [], [], 10.0)[0], "nothing has arrived"

    def wait_acknowledged(self):
        """Wait until the kernel on the other side has all that was sent."""
        while struct.unpack("i", fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(4)))[0]:
            pass

    def read(self):
        try:
            while self.end is None:
                data = self.sock.recv(1 << 16)
                self.received += data
                if not data:
                    self.end = "FIN"
        except BlockingIOError:
            pass
        except OSError:
            self.end = "RST"

    def expect(self, wanted):
        """Turn until bytes have arrived, which must be exactly these."""

        def whole():
            self.read()
            return len(self.received) >= len(wanted) or self.end

        self.rig.until(whole)
        assert self.received[: len(wanted)] == wanted, (self.received[:400], self.end)
        self.received = self.received[len(wanted) :]

    def wait_end(self):
        """Return how its connection ended, and what arrived before."""

        def has_ended():
            self.read()
            return self.end

        self.rig.until(has_ended)
        return self.end, self.received

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class ClientConnectionsTestCase(unittest.TestCase):
    def rig(self, **other):
        rig = ClientConnectionsRig(**other)
        self.addCleanup(rig.close)
        self.addCleanup(lambda: self.assertEqual(rig.faults, []))
        return rig

    def full_rig(self, **limits):
        """A rig with room for one client, whose RPC is under way."""
        rig = self.rig(max_clients=1, **limits)
        peer = rig.started_peer()
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        return rig
