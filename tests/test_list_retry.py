"""When discovery is called again after an outage.

What users saw: after an outage of the service for lists, balancers went on sending requests to a node that was leaving
for up to 8.2 s after the service's return (6 s and the drain's grace are allowed), in longer outages for up to 28 s.
Order of events: the service's process dies, each balancer's calls are refused at once, a node begins to leave, the
service comes back, the balancer's next call is still to come.
Cause: the delay after a failed call doubled from 4 to 20 s, times 0.5 to 1.5, whatever the call had cost the service.
Evidence: the first call after the return came after the late requests in each run, and was answered at once.
"""

import random
import unittest
from unittest import mock

import anyio
import anyio.lowlevel

from brookreach.net.discovery import DiscoveryClient
from brookreach.net.http import HttpConnection, NotHttp
from brookreach.net.limits import limits_from
from brookreach.net.list_call_failure import CallFailure
from brookreach.net.list_retry import ListRetrySchedule

from .helpers import SETTINGS, RecordedLog
from .test_many_balancers import ask_together, schedules_from

TOLD_WITHIN_S = 6.0  # after discovery can be reached (the standing page)
ANSWER_S = 2.0  # an answer of the service may take as long
OBSERVED_CALLS = 40
NOT_REACHED = (CallFailure.UNREACHABLE, CallFailure.REFUSED, CallFailure.UNREADABLE)


def limits_of(balancers, ask_within_s=10.0):
    guarantees = SETTINGS["guarantees"] | {"askWithinUs": round(ask_within_s * 1e6)}
    settings = SETTINGS | {"registryMode": "ask", "balancers": balancers, "guarantees": guarantees}
    return limits_from({"memory_mb": 80, "sockets": 384}, settings)


class BrokenService:
    """Fails each call at once in one way, and keeps the moments of the calls on a clock that only sleeps move on."""

    def __init__(self, failure):
        self.failure, self.now, self.calls = failure, 0.0, []
        self.last_body, self.status = b"", None
        self.observed = None  # the scope that ends the observation

    async def connect(self, address):
        self.calls.append(self.now)
        if len(self.calls) >= OBSERVED_CALLS:
            self.observed.cancel()
        if self.failure == "connection refused":
            raise ConnectionRefusedError
        return self

    async def request(self, method, target):
        if self.failure == "connection reset":
            raise anyio.BrokenResourceError
        self.status = 503 if self.failure == "status 503" else 200
        return self.status

    async def read_body(self, max_bytes):
        if self.failure == "answer broken off":
            raise NotHttp("the answer broke off")
        return b""

    async def close(self):
        pass

    async def sleep(self, delay_s):
        self.now += delay_s
        await anyio.lowlevel.checkpoint()


class OutageTest(unittest.TestCase):
    def test_calls_that_fail_at_once_leave_time_for_an_answer_before_the_list_counts_as_told(self):
        # Guards against balancers that send to a leaving node after an outage: the delays grew to 30 s.
        for failure in ("connection refused", "connection reset", "status 503", "answer broken off"):
            for balancers in (2, 40, 200):
                with self.subTest(failure=failure, balancers=balancers):
                    calls = self.calls_in_an_outage(failure, limits_of(balancers))
                    longest_s = max(later - earlier for earlier, later in zip(calls, calls[1:], strict=False))
                    self.assertLess(longest_s + ANSWER_S, TOLD_WITHIN_S)

    def calls_in_an_outage(self, failure, limits):
        service = BrokenService(failure)
        discovery = DiscoveryClient(limits, RecordedLog(), ["a"], ["std"], random.Random(3), lambda told, listed: None)
        discovery.set_address(("127.0.0.1", 1))

        async def follow():
            with anyio.CancelScope() as service.observed:
                await discovery.follow()

        with (
            mock.patch.object(HttpConnection, "connect", service.connect),
            mock.patch("brookreach.net.discovery.anyio.sleep", service.sleep),
            mock.patch("brookreach.net.discovery.anyio.current_time", lambda: service.now),
        ):
            anyio.run(follow)
        self.assertEqual(len(service.calls), OBSERVED_CALLS)
        return service.calls

    def test_a_whole_fleet_is_served_in_time_after_an_outage_of_any_kind(self):
        # Guards against delays that are short but of one phase, which fill the service's queue at its return.
        for balancers in (40, 200):
            for all_calls_s in (0.8, 2.0, 4.0):  # the time that the service needs for one call of each balancer
                for down_s in (0.5, 3.0, 12.0, 25.0):
                    for while_down in NOT_REACHED:
                        with self.subTest(balancers=balancers, all_calls_s=all_calls_s, down_s=down_s, how=while_down):
                            self.check_fleet(balancers, all_calls_s, down_s, while_down)

    def check_fleet(self, balancers, all_calls_s, down_s, while_down):
        schedules = schedules_from(limits_of(balancers), balancers)
        for one in schedules:  # the service dies while their watches stand
            one.call_started(-5.0)
            one.call_succeeded()
            one.call_started(-4.0)
            one.call_failed(CallFailure.UNREACHABLE, 0.0)
        service, had = ask_together(schedules, all_calls_s / balancers, 3.0, down_s + 30.0, down_s, while_down)
        self.assertEqual(len(had), balancers)
        self.assertLess(max(had.values()) - down_s, TOLD_WITHIN_S)
        self.assertEqual(len(service.calls), balancers)

    def test_calls_that_the_service_queued_and_failed_leave_it_room(self):
        # Guards against a fleet that keeps the service's queue full for good (docs/incidents/0004).
        for balancers in (40, 200):
            with self.subTest(balancers=balancers):
                schedules = schedules_from(limits_of(balancers), balancers, seed=1)
                service, had = ask_together(schedules, 8.0 / balancers, 3.0)
                self.assertEqual(len(had), balancers)
                self.assertLess(max(had.values()), 40.0)
                self.assertLess(len(service.calls), 4 * balancers)


class ScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = ListRetrySchedule(3.8, 4.0, 20.0, random.Random(5))

    def delay_after(self, failure, started_at=0.0, failed_at=0.0):
        self.schedule.call_started(started_at)
        self.schedule.call_failed(failure, failed_at)
        return self.schedule.delay_s(failed_at)

    def succeed(self):
        self.schedule.call_started(0.0)
        self.schedule.call_succeeded()

    def test_the_first_call_and_one_to_another_address_are_due_at_once(self):
        self.assertEqual(self.schedule.delay_s(0.0), 0.0)
        self.delay_after(CallFailure.OVERLOADED)
        self.schedule.reset()
        self.assertEqual(self.schedule.delay_s(0.0), 0.0)

    def test_a_kept_connection_that_was_closed_is_replaced_at_once(self):
        self.succeed()
        self.assertEqual(self.delay_after(CallFailure.STALE_CONNECTION), 0.0)

    def test_one_unreadable_answer_is_asked_for_again_at_once_the_next_is_not(self):
        self.succeed()
        self.assertEqual(self.delay_after(CallFailure.UNREADABLE), 0.0)
        self.assertGreater(self.delay_after(CallFailure.UNREADABLE), 0.0)

    def test_the_period_counts_from_the_begin_of_a_call_that_was_given_up(self):
        self.delay_after(CallFailure.UNREACHABLE)
        self.assertLessEqual(self.delay_after(CallFailure.SILENT, 10.0, 13.0), 0.8)
        self.assertEqual(self.delay_after(CallFailure.SILENT, 20.0, 33.0), 0.0)

    def test_delays_grow_only_after_calls_that_an_overloaded_service_kept(self):
        delays = [self.delay_after(CallFailure.OVERLOADED) for _ in range(4)]
        for delay_s, mean_s in zip(delays, (4.0, 8.0, 16.0, 20.0), strict=True):
            self.assertTrue(0.5 * mean_s <= delay_s <= 1.5 * mean_s, delays)
        self.assertLessEqual(self.delay_after(CallFailure.UNREACHABLE), 3.8)
        self.assertLessEqual(self.delay_after(CallFailure.REFUSED), 3.8)

    def test_a_full_queue_is_left_alone_for_the_longest_delay(self):
        self.delay_after(CallFailure.REFUSED)
        self.assertGreaterEqual(self.delay_after(CallFailure.OVERLOADED), 10.0)

    def test_a_watch_that_had_stood_and_ends_with_an_error_is_no_sign_of_a_queue(self):
        self.succeed()
        self.assertLessEqual(self.delay_after(CallFailure.OVERLOADED, 1.0, 3.0), 3.8)
