"""Clients of the xDS server whose first request never ends, and the others beside them.

What users saw: 300 connections that each began a stream and sent 960,000 bytes of a request of 1,000,000 took some
290 MB. Each request had a bound, all of them together had none, and no time.
"""

import contextlib
import unittest
from unittest import mock

import anyio
import grpc
from envoy.service.discovery.v3 import discovery_pb2

from brookreach.xds import first_requests
from brookreach.xds.ads_server import AdsServer
from brookreach.xds.messages import CDS
from tests.xds_rig import published_cache

CROWD = 60
MAX_READ_AT_ONCE = 16  # requests of 1 MiB each


class AbortedError(Exception):
    """What gRPC raises in a handler that aborts its call."""


class Call:
    """One call: its requests, and the context of its handler."""

    def __init__(self, counts, *requests, hangs=True):
        self.counts, self.requests, self.hangs = counts, list(requests), hangs
        self.responses, self.status, self.ended_at = [], None, None

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.requests:
            return self.requests.pop(0)
        if not self.hangs:
            raise StopAsyncIteration
        self.counts["reading"] += 1
        self.counts["most"] = max(self.counts["most"], self.counts["reading"])
        try:
            await anyio.sleep_forever()
        finally:
            self.counts["reading"] -= 1

    def auth_context(self):
        return {}

    async def write(self, response):
        self.responses.append(response)

    async def abort(self, code, text):
        self.status, self.ended_at = code, anyio.current_time()
        raise AbortedError(text)


async def serve(ads, call):
    with contextlib.suppress(AbortedError):
        await ads.state_of_the_world(call, call)


class FirstRequestTest(unittest.TestCase):
    def setUp(self):
        self.counts = {"reading": 0, "most": 0}

    def make_server(self):
        return AdsServer(published_cache(), lambda line: None, clock=lambda: 0.0)

    # Guards against memory for one half request of each connection, however many there are.
    def test_a_crowd_of_unfinished_requests_is_read_by_turns_and_a_sound_stream_is_served(self):
        request = discovery_pb2.DiscoveryRequest(type_url=CDS)
        request.node.id = "p1"
        sound = Call({"reading": 0, "most": 0}, request.SerializeToString())

        async def run():
            ads = self.make_server()
            crowd = [Call(self.counts) for _ in range(CROWD)]
            with anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    for call in [*crowd, sound]:
                        tasks.start_soon(serve, ads, call)
                    while not sound.responses or any(call.status is None for call in crowd):
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
            self.assertEqual({call.status for call in crowd}, {grpc.StatusCode.UNAVAILABLE})
            self.assertEqual(ads.open_streams, 0)

        anyio.run(run)
        self.assertEqual(self.counts, {"reading": 0, "most": MAX_READ_AT_ONCE})

    def test_one_alone_has_the_whole_time(self):
        async def run():
            call = Call(self.counts)
            began_at = anyio.current_time()
            with mock.patch.object(first_requests, "READ_TIMEOUT_S", 0.4):
                await serve(self.make_server(), call)
            self.assertEqual(call.status, grpc.StatusCode.UNAVAILABLE)
            self.assertGreaterEqual(anyio.current_time() - began_at, 0.4)

        anyio.run(run)

    # Guards against streams that cut each other short while there are turns for all of them.
    def test_several_have_the_whole_time_while_none_waits_for_its_turn(self):
        async def run():
            ads, calls = self.make_server(), [Call(self.counts) for _ in range(MAX_READ_AT_ONCE)]
            began_at = anyio.current_time()
            with mock.patch.object(first_requests, "READ_TIMEOUT_S", 0.4):
                async with anyio.create_task_group() as tasks:
                    for call in calls:
                        tasks.start_soon(serve, ads, call)
            self.assertEqual({call.status for call in calls}, {grpc.StatusCode.UNAVAILABLE})
            self.assertGreaterEqual(min(call.ended_at for call in calls) - began_at, 0.4)

        anyio.run(run)

    def test_a_stream_that_ends_without_a_request_ends_quietly(self):
        async def run():
            call, ads = Call(self.counts, hangs=False), self.make_server()
            await serve(ads, call)
            self.assertEqual((call.status, ads.open_streams), (None, 0))

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
