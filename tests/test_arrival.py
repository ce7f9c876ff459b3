"""Requests are dated to the earliest time at which they may have come, after a standstill and behind the accept queue.

A balancer that stood still for 1.9 s took what it then found for new: requests with 2.6 s got no answer until 1.8 s
past their time, and a build on trial got 46 to 51 attempts in 4 s where 40.2 were allowed.
"""

import math
import socket
import time
import unittest
from contextlib import closing
from unittest import mock

import anyio
import anyio.abc
import anyio.lowlevel

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.arrival import last_data_at
from brookreach.net.standstill import MAX_WAIT_S, MIN_STANDSTILL_S, StandstillMonitor

from .helpers import RecordedLog
from .peers_clients import HELLO, ClientConnectionsTestCase, query
from .peers_front import BalancerRig, look

STANDSTILL_S = 0.4
READER_TURNS = 8  # of a task that reads news: several reads, and its parser
GOING_BACK = ifc.RolloutStatus(False, ifc.Outcome.OK, 2, 0.0, ifc.RolloutPhase.GOING_BACK, 0.0, 2)


def standstill(rig, sent):
    """Send from some sockets; nothing is polled for a while before and after it. Return when it began and ended."""
    time.sleep(STANDSTILL_S)
    began_at = time.monotonic()
    for peer, data in sent:
        peer.send(data)
    ended_at = time.monotonic()
    time.sleep(STANDSTILL_S)
    rig.until(lambda: len(rig.receiver.received) >= len(sent))
    return began_at, ended_at


class DatingTest(ClientConnectionsTestCase):
    def check_dated(self, rig, numbers, sent):
        """They are dated to no later than they were sent, and not to the begin of the standstill either."""
        began_at, ended_at = sent
        for number in numbers:
            self.assertLessEqual(rig.receiver.received_at[number], ended_at)
            self.assertGreater(rig.receiver.received_at[number], began_at - STANDSTILL_S / 2)

    # Guards against a request that counts from the end of a standstill, and against one that counts from its begin.
    def test_one_request_is_dated_to_its_arrival(self):
        rig = self.rig()
        peers = [rig.started_peer() for _ in range(2)]
        rig.run_until_idle()
        self.check_dated(rig, (0, 1), standstill(rig, [(peer, query(number)) for number, peer in enumerate(peers)]))

    # Guards against the arrival of the last one being taken for that of those before it.
    def test_one_with_another_behind_it_is_dated_to_the_last_look(self):
        rig = self.rig()
        peer = rig.started_peer()
        rig.run_until_idle()
        looked_at = rig.poller.polled_at
        peer.send_unread(query(1))
        sent = standstill(rig, [(peer, query(2))])
        rig.until(lambda: len(rig.receiver.received) == 2)
        self.assertLessEqual(rig.receiver.received_at[1], looked_at)
        self.check_dated(rig, (2,), sent)

    # Guards against requests that are dated to the accept of their connection.
    def test_one_that_waited_to_be_accepted(self):
        rig = self.rig()
        rig.run_until_idle()
        peers = [rig.peer(HELLO) for _ in range(3)]
        sent = standstill(rig, [(peer, query(number)) for number, peer in enumerate(peers)])
        self.check_dated(rig, range(3), sent)

    # Guards against a crowd of long ago whose end was not seen, since accepting paused as its last one had come.
    def test_one_after_a_pause_of_accepting_is_not_dated_to_before_it(self):
        rig = self.full_rig(min_refusals=1, refusal_timeout_s=60.0)
        refused = rig.peer(b"")
        self.assertEqual(refused.wait_end()[0], "FIN")
        rig.until(lambda: rig.clients.is_paused)  # for a next one there would be no room
        refused.sock.close()
        rig.receiver.answer(1)
        rig.until(lambda: not rig.clients.is_paused and not rig.clients.refusals.open)
        rig.run_until_idle()
        time.sleep(STANDSTILL_S)
        rig.run_until_idle()
        before = rig.poller.polled_at
        rig.peer(HELLO + query(2) + query(3))
        rig.until(lambda: len(rig.receiver.received) == 3)
        self.assertGreaterEqual(rig.receiver.received_at[2], before)

    def test_one_that_comes_later_on_such_a_connection_is_new(self):
        rig = self.rig()
        rig.run_until_idle()
        peer = rig.peer(HELLO)
        time.sleep(STANDSTILL_S)
        peer.expect(pgwire.STARTUP_RESPONSE)
        rig.run_until_idle()
        before = rig.poller.polled_at
        peer.send(query(1))
        rig.until(lambda: rig.receiver.received)
        self.assertGreaterEqual(rig.receiver.received_at[1], before)

    def test_a_socket_of_which_the_kernel_tells_nothing(self):
        one, other = socket.socketpair()
        with one, other:
            self.assertEqual(last_data_at(one), -math.inf)


class StandstillTest(unittest.TestCase):
    # Guards against what is found after a standstill being taken for new.
    def test_a_request_that_came_while_the_process_stood_still(self):
        received = []

        def observe(_now, what):
            if isinstance(what, ifc.RpcReceived):
                received.append(what)

        async def play(rig, client):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.driver.run)
                await anyio.sleep(4.0 * MAX_WAIT_S)
                client.sock.sendall(look(1, 3000))
                time.sleep(STANDSTILL_S)  # all tasks of the process
                with anyio.fail_after(5.0):
                    while not received:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            rig.driver.observer = observe
            anyio.run(play, rig, client)
            self.assertGreaterEqual(received[0].unread_ms, 1000.0 * STANDSTILL_S)
            self.assertGreaterEqual(rig.driver.standstills.total_s, STANDSTILL_S - MAX_WAIT_S)
            self.assertTrue([line for line in rig.report.lines if "held up for" in line])

    # Guards against requests that are sent by a list or a state that was outdated before the process went on.
    def test_what_other_tasks_read_after_a_standstill_goes_before_requests(self):
        heard = []

        async def read_news(rig, stream):
            async with stream:
                await stream.receive(1)
                for _ in range(READER_TURNS):
                    await anyio.lowlevel.checkpoint()
                rig.driver.enqueue(GOING_BACK)

        async def play(rig, client):
            async with anyio.create_task_group() as tasks:
                ours, theirs = socket.socketpair()
                tasks.start_soon(rig.driver.run)
                tasks.start_soon(read_news, rig, await anyio.abc.UNIXSocketStream.from_socket(ours))
                await anyio.sleep(4.0 * MAX_WAIT_S)
                client.sock.sendall(look(1, 3000))
                theirs.sendall(b"!")
                time.sleep(STANDSTILL_S)  # all tasks of the process
                with anyio.fail_after(5.0), theirs:
                    while len(heard) < 2:
                        await anyio.sleep(0.001)
                tasks.cancel_scope.cancel()

        with closing(BalancerRig()) as rig:
            rig.listed()
            client = rig.client()
            rig.driver.observer = lambda _now, what: (
                heard.append(type(what)) if isinstance(what, (ifc.RpcReceived, ifc.RolloutStatus)) else None
            )
            anyio.run(play, rig, client)
        self.assertEqual(heard, [ifc.RolloutStatus, ifc.RpcReceived])

    # Guards against a quiet time that is taken for a standstill, and a standstill that hides in a long wait.
    def test_what_a_wait_of_planned_length_finds_is_new(self):
        for is_standstill in (False, True):
            with self.subTest(is_standstill), closing(BalancerRig()) as rig:
                rig.listed()
                planned, before = [], rig.poller.polled_at
                rig.driver.standstills.check = lambda planned_s, said=is_standstill, row=planned: (
                    row.append(planned_s) or said
                )
                anyio.run(rig.driver._wait)
                self.assertLessEqual(max(planned), MAX_WAIT_S)
                self.assertEqual(rig.poller.polled_at == before, is_standstill)

    def test_delays_count_from_the_end_of_what_was_planned(self):
        with mock.patch("brookreach.net.standstill.time.monotonic") as now:
            now.return_value = 10.0
            monitor = StandstillMonitor(RecordedLog())
            now.return_value = 10.0 + MAX_WAIT_S + 0.9 * MIN_STANDSTILL_S
            self.assertFalse(monitor.check(MAX_WAIT_S))
            now.return_value = 12.0 + MAX_WAIT_S
            self.assertTrue(monitor.check(MAX_WAIT_S))
            monitor.note_turn()
            self.assertFalse(monitor.check(0.0))
            now.return_value = 12.0 + 2.0 * MAX_WAIT_S
            self.assertEqual(monitor.earliest_input_at(), now.return_value)
            now.return_value = 15.0
            self.assertEqual(monitor.earliest_input_at(), 12.0 + MAX_WAIT_S)
        self.assertEqual(monitor.count, 1)
        self.assertAlmostEqual(monitor.total_s, 2.0)


if __name__ == "__main__":
    unittest.main()
