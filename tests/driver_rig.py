"""A rig with a driver, its balancer and several fake nodes; the test runs its loop."""

from dataclasses import replace

from brookreach import interface as ifc
from brookreach.net.clock import Clock
from brookreach.net.drain import Drain
from brookreach.net.driver import Driver
from brookreach.net.limits import limits_from
from brookreach.net.poller import Poller

from .helpers import SETTINGS, RecordedLog, balancer_settings
from .node_messages import make_statement
from .peers_nodes import FakeNode, PollerDriven


class DriverRig(PollerDriven):
    """A driver with its balancer and several fake nodes; `answers` holds the answers to clients by RPC."""

    def __init__(self, methods, peers=2, caps=(1.0,), window_ms=400.0, free=2.0, dial_ms=250.0, **other):
        settings = balancer_settings(methods=methods, caps=caps, free=free, **other)
        settings = replace(settings, exposure=replace(settings.exposure, window_ms=window_ms))
        limits = limits_from({"cores": 1, "memory_mb": 192, "sockets": 512}, SETTINGS)
        self.report = RecordedLog()
        self.answers = {}
        self.faults = []
        self.poller = Poller(64, self.faults.append)
        limits = replace(limits, connect_timeout_s=dial_ms / 1000.0)
        self.driver = Driver(settings, limits, self.report, Clock(), self.poller, Drain(limits))
        self.peers = [FakeNode(self, number) for number in range(1, peers + 1)]
        self.driver.start_balancer()

    def listing(self, listed, news):
        self.driver.on_node_list(ifc.NodeList(ifc.ListKind.FULL, 1, tuple(one.entry for one in listed)), listed)
        self.driver.enqueue(news)
        self.turn()

    def turn(self):
        self.driver.run_round()

    def take(self, number, method, wait=3000, write=False):
        slot = RecordingSlot(self.answers, number)
        return self.driver.receive(make_statement(write, number, wait, method), slot, self.poller.events_since)

    def close(self):
        self.poller.close()
        for peer in self.peers:
            peer.close()
        assert not self.faults and not [line for line in self.report.lines if line.startswith("fault")]


class RecordingSlot:
    """A client's slot that records its one answer."""

    def __init__(self, answers, number):
        self.answers, self.number = answers, number

    def answer(self, buffers):
        assert self.number not in self.answers, "two answers"
        self.answers[self.number] = b"".join(buffers)
