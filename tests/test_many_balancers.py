"""Many balancers at once: what is right for one must not harm all. Under virtual clocks: a service for lists of nodes,
and the model of a fleet."""

import heapq
import random
import unittest
from collections import Counter

import anyio

from brookreach import interface as ifc
from brookreach.model.case import Case, Trouble
from brookreach.model.world import ORIGIN_MS, Wave
from brookreach.net.backoff import Backoff
from brookreach.net.limits import limits_from
from brookreach.net.list_call_failure import CallFailure
from brookreach.net.list_retry import ListRetrySchedule

from .helpers import SETTINGS, SimulatedDeployment

BALANCERS = 40
ASK_SETTINGS = SETTINGS | {"registryMode": "ask", "balancers": BALANCERS}


class Service:
    """One service for all balancers. Calls queue and take `work_s` each. The queue is longer than can be answered before a
    call has waited 2 s and fails, and a call that fails costs as much as one that does not."""

    def __init__(self, work_s, overbook=3.0):
        self.work_s, self.most_s, self.free_at, self.calls = work_s, 2.0 * overbook, 0.0, []

    def call(self, now):
        """When the answer comes, and how the call failed, None for an answer."""
        self.calls.append(now)
        behind = max(0.0, self.free_at - now) + self.work_s
        if behind > self.most_s:
            return now + 0.003, CallFailure.REFUSED
        self.free_at = now + behind
        return now + min(behind, 2.0), None if behind <= 2.0 else CallFailure.OVERLOADED


def ask_together(schedules, work_s, answer_s=3.0, until_s=90.0, down_s=0.0, while_down=None):
    """All balancers ask. Returns the service, and when each of them had its answer.

    Up to `down_s` the service is not reached, and each call fails at once as `while_down` says.
    """
    service, had = Service(work_s), {}
    due = [(one.delay_s(0.0), n) for n, one in enumerate(schedules)]
    heapq.heapify(due)
    while due and due[0][0] < until_s:
        now, n = heapq.heappop(due)
        schedules[n].call_started(now)
        at, failure = (now + 0.001, while_down) if now < down_s else service.call(now)
        if failure is None and at >= now + answer_s:
            failure = CallFailure.SILENT
        if failure is None:
            had[n] = at
            continue
        ended_at = min(at, now + answer_s)
        schedules[n].call_failed(failure, ended_at)
        heapq.heappush(due, (ended_at + schedules[n].delay_s(ended_at), n))
    return service, had


def schedules_from(limits, balancers=BALANCERS, seed=0):
    """The schedule of each balancer of a fleet that has just started."""
    return [
        ListRetrySchedule(
            limits.list_retry_period_s,
            limits.list_overload_delay_s,
            limits.list_overload_max_delay_s,
            random.Random(1000 * seed + n),
        )
        for n in range(balancers)
    ]


class ListsTest(unittest.TestCase):
    def test_one_service_serves_all_that_were_refused_together(self):
        limits = limits_from({"memory_mb": 80, "sockets": 384}, ASK_SETTINGS)
        for work_s, within_s in ((0.05, 10.0), (0.2, 40.0), (0.5, 90.0)):
            service, had = ask_together(schedules_from(limits), work_s, limits.watch_grace_s)
            self.assertEqual(len(had), BALANCERS, f"{work_s} s a call")
            self.assertLess(max(had.values()), within_s)
            self.assertLess(len(service.calls), 6 * BALANCERS)

    def test_short_pauses_overload_the_service(self):
        schedules = [ListRetrySchedule(1.0, 0.1, 1.0, random.Random(n)) for n in range(BALANCERS)]
        service, had = ask_together(schedules, 0.5, 1.5)
        self.assertLess(len(had), BALANCERS // 4)
        self.assertGreater(len(service.calls), 20 * BALANCERS)

    def test_backoff_spreads_calls_that_failed_together(self):
        backoffs = [Backoff(1.0, 20.0, random.Random(n)) for n in range(BALANCERS)]
        self.assertEqual({one.next_delay_s() for one in backoffs}, {0.0})
        for _ in range(6):
            pauses = [one.next_delay_s() for one in backoffs]
        self.assertLess(min(pauses), 12.0)
        self.assertGreater(max(pauses), 28.0)
        self.assertLessEqual(max(pauses), 30.0)
        backoffs[0].reset()
        self.assertEqual(backoffs[0].next_delay_s(), 0.0)

    def test_changes_are_asked_for_and_not_the_whole_list(self):
        for settings, first in (
            (SETTINGS, "GET /registry/instances"),
            (ASK_SETTINGS, "GET /registry/instances?after=1&wait_ms=10000"),
        ):

            async def story(settings=settings, first=first):
                deployment = SimulatedDeployment(settings)
                with anyio.fail_after(30):
                    async with deployment.open():
                        while len(deployment.discovery.calls) < 2:
                            await anyio.sleep(0.001)
                            deployment.list_changed.set()
                self.assertEqual(deployment.discovery.calls[0], first)
                self.assertIn("after=1", deployment.discovery.calls[1])

            anyio.run(story)


def play(rpcs_per_s, seconds, *troubles):
    """Ten balancers and ten nodes that carry 400 RPCs a second together, without a rollout.

    Returns a function: of the RPCs received between two times (s), the share answered in time and the share pushed back.
    """
    received, events = {}, []

    def watch(ordinal, now, what):
        match what:
            case ifc.RpcReceived():
                received[what.rpc_id] = now
                events.append((now, "came"))
            case ifc.PushBack():
                events.append((now, "back"))
            case ifc.PickEnded(is_final=True) if now < received[what.rpc_id] + 1000.0:
                events.append((now, "in time"))

    Wave(
        Case(
            marshals=10,
            nodes=10,
            rate=rpcs_per_s / 10,
            busy=rpcs_per_s / 400,
            troubles=troubles,
            tally_sample=0.5,
            before_ms=1000.0 * seconds,
            most_ms=0.0,
        ),
        3,
        watch,
    ).run()

    def shares(low, high):
        counts = Counter(what for at, what in events if low <= (at - ORIGIN_MS) / 1000.0 < high)
        return counts["in time"] / counts["came"], counts["back"] / counts["came"]

    return shares


class CrowdTest(unittest.TestCase):
    """Each balancer sees a tenth of the RPCs; troubles begin so many ms before the end."""

    def test_nothing_is_pushed_back_without_overload(self):
        served, back = play(240, 10)(0, 10)
        self.assertGreater(served, 0.97)
        self.assertLess(back, 0.01)

    def test_a_burst_is_carried_as_far_as_capacity_allows_and_ends_at_once(self):
        shares = play(240, 19, Trouble("burst", 800 / 240, -14_000.0, -6000.0))
        self.assertGreater(shares(5, 13)[0], 0.35)  # of twice what can be carried
        served, back = shares(15, 19)
        self.assertGreater(served, 0.95)
        self.assertLess(back, 0.03)

    def test_hanging_nodes_are_not_taken_for_overload(self):
        served, back = play(200, 13, Trouble("crawl", 1e9, -8000.0, places=4))(7, 13)
        self.assertGreater(served, 0.82)
        self.assertLess(back, 0.05)
