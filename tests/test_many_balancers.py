"""Many marshals at once: what is right for one must not be wrong for all. Virtual clocks: one service
for lists, and the model's world."""

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

from .helpers import SETTINGS, SimulatedDeployment

MARSHALS = 40
ASKED = SETTINGS | {"registryMode": "ask", "balancers": MARSHALS}


class Service:
    """One service for all marshals: calls wait in turn for `work_s` each; it takes up more than it can answer
    before a call has waited 2 s and fails, and what failed has cost as much as what did not."""

    def __init__(self, work_s, overbook=3.0):
        self.work_s, self.most_s, self.free_at, self.calls = work_s, 2.0 * overbook, 0.0, []

    def call(self, now):
        """When the answer comes, and whether it is one."""
        self.calls.append(now)
        behind = max(0.0, self.free_at - now) + self.work_s
        if behind > self.most_s:
            return now + 0.003, False
        self.free_at = now + behind
        return now + min(behind, 2.0), behind <= 2.0


def asked(first_s, most_s, work_s, answer_s=3.0, until_s=90.0):
    """All marshals ask from the same moment on; the service, and when each had its answer."""
    service, had = Service(work_s), {}
    backoffs = [Backoff(first_s, most_s, random.Random(n)) for n in range(MARSHALS)]
    due = [(one.next_delay_s(), n) for n, one in enumerate(backoffs)]
    while due and due[0][0] < until_s:
        now, n = heapq.heappop(due)
        at, served = service.call(now)
        if served and at < now + answer_s:
            had[n] = at
        else:
            heapq.heappush(due, (min(at, now + answer_s) + backoffs[n].next_delay_s(), n))
    return service, had


class ListsTest(unittest.TestCase):
    def test_one_service_serves_all_that_were_refused_together(self):
        limits = limits_from({"memory_mb": 80, "sockets": 384}, ASKED)
        for work_s, within_s in ((0.05, 10.0), (0.2, 40.0), (0.5, 90.0)):
            service, had = asked(limits.list_retry_min_s, limits.list_retry_max_s, work_s, limits.watch_grace_s)
            self.assertEqual(len(had), MARSHALS, f"{work_s} s a call")
            self.assertLess(max(had.values()), within_s)
            self.assertLess(len(service.calls), 6 * MARSHALS)

    def test_the_checker_sees_pauses_that_stay_short(self):
        service, had = asked(0.1, 1.0, 0.5, 1.5)
        self.assertLess(len(had), MARSHALS // 4)
        self.assertGreater(len(service.calls), 20 * MARSHALS)

    def test_pauses_part_what_failed_together(self):
        backoffs = [Backoff(1.0, 20.0, random.Random(n)) for n in range(MARSHALS)]
        self.assertEqual({one.next_delay_s() for one in backoffs}, {0.0})
        for _ in range(6):
            pauses = [one.next_delay_s() for one in backoffs]
        self.assertLess(min(pauses), 12.0)
        self.assertGreater(max(pauses), 28.0)
        self.assertLessEqual(max(pauses), 30.0)
        backoffs[0].reset()
        self.assertEqual(backoffs[0].next_delay_s(), 0.0)

    def test_what_has_changed_is_asked_for_and_not_the_whole_list(self):
        for settings, first in (
            (SETTINGS, "GET /registry/instances"),
            (ASKED, "GET /registry/instances?after=1&wait_ms=10000"),
        ):

            async def story(settings=settings, first=first):
                deployment = SimulatedDeployment(settings)
                with anyio.fail_after(30):
                    async with deployment.open():
                        while len(deployment.discovery.calls) < 2:
                            await anyio.sleep(0.001)
                            deployment.pause.set()
                self.assertEqual(deployment.discovery.calls[0], first)
                self.assertIn("after=1", deployment.discovery.calls[1])

            anyio.run(story)


def crowd(a_second, seconds, *troubles):
    """Ten marshals and the ten nodes of the model's world, which carry 400 RPCs a second; no build is offered.
    Returns what share of the RPCs that came from `low` to `high` s was answered in time and pushed back then."""
    came, heard = {}, []

    def watch(ordinal, now, what):
        match what:
            case ifc.RpcReceived():
                came[what.rpc_id] = now
                heard.append((now, "came"))
            case ifc.PushBack():
                heard.append((now, "back"))
            case ifc.PickEnded(is_final=True) if now < came[what.rpc_id] + 1000.0:
                heard.append((now, "in time"))

    Wave(
        Case(
            marshals=10,
            nodes=10,
            rate=a_second / 10,
            busy=a_second / 400,
            troubles=troubles,
            tally_sample=0.5,
            before_ms=1000.0 * seconds,
            most_ms=0.0,
        ),
        3,
        watch,
    ).run()

    def shares(low, high):
        counts = Counter(what for at, what in heard if low <= (at - ORIGIN_MS) / 1000.0 < high)
        return counts["in time"] / counts["came"], counts["back"] / counts["came"]

    return shares


class CrowdTest(unittest.TestCase):
    """One marshal sees a tenth of the RPCs; troubles begin so many ms before the end."""

    def test_calm_days_push_nothing_back(self):
        served, back = crowd(240, 10)(0, 10)
        self.assertGreater(served, 0.97)
        self.assertLess(back, 0.01)

    def test_what_can_be_carried_is_carried_while_more_comes_and_at_once_after(self):
        shares = crowd(240, 19, Trouble("burst", 800 / 240, -14_000.0, -6000.0))
        self.assertGreater(shares(5, 13)[0], 0.35)  # of twice what can be carried
        served, back = shares(15, 19)
        self.assertGreater(served, 0.95)
        self.assertLess(back, 0.03)

    def test_nodes_that_hang_are_not_too_much_to_do(self):
        served, back = crowd(200, 13, Trouble("crawl", 1e9, -8000.0, places=4))(7, 13)
        self.assertGreater(served, 0.82)
        self.assertLess(back, 0.05)
