"""One stream's responses: their order, nonces, rejections, and how a stream is resumed."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach import interface as ifc
from brookreach.xds import ads_server, codec, messages, resources
from brookreach.xds.messages import EDS, RDS, DiscoveryRequest, StreamRejectedError
from brookreach.xds.stream import AdsStream
from tests.xds_rig import FLEET, TRIAL, make_view, node_addresses, published_cache

QUICK = settings(max_examples=80, deadline=None, derandomize=True, database=None)


class AdsStreamTest(unittest.TestCase):
    def subscribe_and_ack(self, stream, snapshot, *urls):
        for url in urls or messages.UPDATE_ORDER:
            names = {EDS: ("earlier", "build-2"), RDS: (resources.ROUTE_CONFIGURATION_NAME,)}.get(url, ())
            stream.handle_request(
                DiscoveryRequest(url, subscribe=names) if stream.delta else DiscoveryRequest(url, resource_names=names)
            )
        sent_types = []
        while responses := stream.pending_responses(snapshot):
            for response in responses:
                sent_types.append(response.type_url.rsplit(".", 1)[1])
                self.ack(stream, response)
        return sent_types

    @staticmethod
    def ack(stream, response, error=""):
        subscription = stream.subscriptions[response.type_url]
        names = () if stream.delta or subscription.wildcard else tuple(sorted(subscription.names))
        stream.handle_request(DiscoveryRequest(response.type_url, response.nonce, response.version_info, names, error))

    def test_responses_are_ordered_and_end_once_all_is_sent(self):
        """Routes that come before their clusters make a proxy fail RPCs; a server that sends what is already held never
        comes to rest.
        """
        for delta in (False, True):
            cache = published_cache()
            stream = AdsStream(delta, "l1")
            sent_types = self.subscribe_and_ack(stream, cache.snapshot)
            self.assertEqual(sent_types, ["Cluster", "ClusterLoadAssignment", "Listener", "RouteConfiguration"])
            self.assertTrue(all(stream.is_acked(url, cache.snapshot) for url in messages.UPDATE_ORDER))
            self.assertEqual(stream.pending_responses(cache.snapshot), [])

    def test_one_response_a_type_until_it_is_acknowledged(self):
        """A proxy that reads slowly must not make the server queue every change; it gets the latest state once it ACKs."""
        cache, stream = published_cache(), AdsStream(True, "l1")
        stream.handle_request(DiscoveryRequest(EDS, subscribe=("earlier",)))
        responses = stream.pending_responses(cache.snapshot)
        for drained in (1, 2):
            nodes = [replace(n, state=ifc.NodeState.DRAINING) if n.node <= drained else n for n in FLEET]
            cache.update(drained, make_view(*nodes), node_addresses(*FLEET))
            cache.publish(drained)
            self.assertEqual(stream.pending_responses(cache.snapshot), [])
        self.ack(stream, responses[0])
        last = stream.pending_responses(cache.snapshot)[0]
        self.assertEqual(last.resources, (cache.snapshot.of(EDS)["earlier"],))

    def test_a_nacked_version_is_not_sent_again(self):
        """A proxy that can't use a resource stays at the one before. Sent the same again, it would NACK for ever."""
        for delta in (False, True):
            cache, stream = published_cache(), AdsStream(delta, "l1")
            self.subscribe_and_ack(stream, cache.snapshot)
            acked = dict(stream.subscriptions[RDS].acked_versions)
            cache.update(1.0, make_view(*FLEET, news=replace(TRIAL, stage=2, cap=0.5)), node_addresses(*FLEET))
            cache.publish(200.0)
            response = next(
                response for response in stream.pending_responses(cache.snapshot) if response.type_url == RDS
            )
            self.ack(stream, response, "13 no\nroute")
            self.assertEqual(stream.nacked, [(RDS, response.version_info, "13 no route")])
            self.assertEqual(
                (stream.subscriptions[RDS].acked_versions, stream.pending_responses(cache.snapshot)), (acked, [])
            )
            cache.update(300.0, make_view(*FLEET, news=replace(TRIAL, stage=2, cap=0.56)), node_addresses(*FLEET))
            cache.publish(500.0)
            self.assertEqual([response.type_url for response in stream.pending_responses(cache.snapshot)], [RDS])

    def test_stale_nonces_change_nothing(self):
        """A request for a superseded response, or from before a restart, must not count as the answer to this one."""
        cache, stream = published_cache(), AdsStream(False, "l1")
        stream.handle_request(DiscoveryRequest(EDS, resource_names=("earlier",)))
        response = stream.pending_responses(cache.snapshot)[0]
        stream.handle_request(DiscoveryRequest(EDS, "other.1", "x", (), "13 no"))
        self.assertEqual((stream.stale_requests, stream.nacks, stream.subscriptions[EDS].names), (1, 0, {"earlier"}))
        self.ack(stream, response)
        self.assertEqual(stream.acks, 1)

    def test_delta_resumes_with_versions_of_another_instance(self):
        """After a reconnect only what has changed is sent, and what no longer exists is removed: a proxy would keep a
        cluster for ever that was removed while it was away.
        """
        cache = published_cache()
        same, other = cache.snapshot.of(EDS)["earlier"].version, "77"
        stream = AdsStream(True, "l2")
        stream.handle_request(
            DiscoveryRequest(
                EDS,
                subscribe=("earlier", "build-2"),
                initial_resource_versions={"earlier": same, "build-2": other, "x": "1"},
            )
        )
        response = stream.pending_responses(cache.snapshot)[0]
        self.assertEqual([resource.name for resource in response.resources], ["build-2"])
        self.assertEqual(response.removed_resources, ("x",))

    def test_absent_names_new_subscriptions_and_unknown_types(self):
        """A proxy waits for a name that doesn't exist until it is told so, and a name that is subscribed to anew has to be
        sent even if it was sent before, since the proxy may have dropped it.
        """
        cache, stream = published_cache(), AdsStream(True, "l1")
        stream.handle_request(DiscoveryRequest(EDS, subscribe=("earlier", "nowhere")))
        response = stream.pending_responses(cache.snapshot)[0]
        self.assertEqual((len(response.resources), response.removed_resources), (1, ("nowhere",)))
        self.ack(stream, response)
        stream.handle_request(DiscoveryRequest(EDS, subscribe=("earlier",)))
        self.assertEqual(len(stream.pending_responses(cache.snapshot)[0].resources), 1)
        stream.handle_request(DiscoveryRequest(messages.TYPE_URL_PREFIX + "some.Unknown", subscribe=("a",)))
        unknown = [response for response in stream.pending_responses(cache.snapshot) if "Unknown" in response.type_url][
            0
        ]
        self.assertEqual(unknown.removed_resources, ("a",))

    @QUICK
    @given(
        st.lists(
            st.builds(
                DiscoveryRequest,
                st.sampled_from(
                    [
                        *messages.UPDATE_ORDER,
                        messages.TYPE_URL_PREFIX + "x",
                        "",
                        "bad",
                        messages.TYPE_URL_PREFIX + "y" * 600,
                    ]
                ),
                st.sampled_from(["", "l1.1", "l1.2", "zz"]),
                st.text(max_size=5),
                st.lists(st.sampled_from(["earlier", "build-2", "*", "", "é" * 400]), max_size=3).map(tuple),
                st.text(max_size=600),
                st.lists(st.sampled_from(["earlier", "*", "n"]), max_size=3).map(tuple),
                st.lists(st.sampled_from(["earlier", "*", "q"]), max_size=3).map(tuple),
                st.dictionaries(st.sampled_from(["earlier", "w"]), st.text(max_size=3), max_size=2),
            ),
            max_size=12,
        ),
        st.booleans(),
    )
    def test_any_requests_end_in_a_response_or_a_status(self, requests, delta):
        """Whatever a client sends, in any order, must not raise anything but the error that ends its own stream."""
        cache, stream = published_cache(), AdsStream(delta, "l1")
        for request in requests:
            try:
                stream.handle_request(request)
            except StreamRejectedError as error:
                self.assertIn(error.code, ads_server.STATUS_CODES)
                return
            for response in stream.pending_responses(cache.snapshot):
                codec.ResponseEncoder().encode(response, delta)
