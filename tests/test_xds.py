"""Assignments, trial shares and snapshots: what proxies are sent, its versions, and what is stored over a restart."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from envoy.config.endpoint.v3 import endpoint_pb2
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach import interface as ifc
from brookreach.xds import assign, resources, store, trial_exposure
from brookreach.xds.messages import CDS, EDS, RDS, DiscoveryRequest
from brookreach.xds.records import NodeView, ProxyLoad
from brookreach.xds.snapshot_cache import SnapshotCache
from tests.xds_rig import FLEET, START, TRIAL, ZONES, assign_fleet, make_view, node_addresses, published_cache

from .helpers import node

QUICK = settings(max_examples=80, deadline=None, derandomize=True, database=None)


class AssignTest(unittest.TestCase):
    def test_draining_and_unlisted_nodes_are_left_out(self):
        """Draining and gone nodes must get no RPC. Without this rule they come back in where every other node is shunned,
        because a shunned node is better than none.
        """
        nodes = [*FLEET, node(6, state=ifc.NodeState.DRAINING), node(7, state=ifc.NodeState.GONE)]
        shunned = replace(
            make_view(*nodes),
            nodes=tuple(NodeView(one, 1.0 if one.node == 1 else 0.6 if one.node == 2 else 0.0, 1.0) for one in nodes),
        )
        assignment = assign.assign(shunned, START, node_addresses(*nodes[:-1]), {})
        self.assertEqual(
            [(endpoint.node, endpoint.degraded) for endpoint in assignment.clusters[0].endpoints],
            [(2, True), (3, False)],
        )
        all_shunned = replace(shunned, nodes=tuple(replace(one, doubt=1.0) for one in shunned.nodes))
        assignment = assign.assign(all_shunned, START, node_addresses(*nodes), {})
        self.assertEqual(
            [endpoint.node for endpoint in assignment.clusters[0].endpoints], [1, 2, 3]
        )  # never the draining one

    @QUICK
    @given(st.floats(0.0, 0.999), st.floats(0.0, 50.0), st.floats(0.0, 5000.0), st.floats(1.0, 1e6))
    def test_the_trial_share_keeps_the_cap_for_any_number_of_rpcs(self, cap, free, least, taken):
        """Proxies draw at random: a share that keeps the cap on average exceeds it by chance if few RPCs come."""
        share = trial_exposure.safe_trial_share(cap, free, least)
        self.assertLessEqual(share, cap)
        if taken >= least:
            mean = taken * share
            self.assertLessEqual(
                mean + trial_exposure.MAX_DEVIATIONS * mean**0.5, free + cap * taken + 1e-6 * taken + 1e-6
            )

    @QUICK
    @given(
        st.floats(0.0, 1.0),
        st.lists(st.tuples(st.floats(0.1, 100.0), st.lists(st.floats(0.0, 1.0), max_size=3)), max_size=6),
    )
    def test_proxies_behind_are_compensated_for(self, want, uses):
        """A proxy that has not ACKed a lower share goes on with the old one, so that all together would exceed the cap
        if the others got the whole new share.
        """
        proxies = {str(at): ProxyLoad(rate, tuple(shares)) for at, (rate, shares) in enumerate(uses)}
        share = trial_exposure.compensated_share(want, proxies)
        self.assertTrue(0.0 <= share <= want)
        total = sum(use.rpcs_per_s for use in proxies.values())
        behind = [use for use in proxies.values() if use.trial_shares and max(use.trial_shares) > want]
        used = sum(use.rpcs_per_s * max(use.trial_shares) for use in behind)
        rest = sum(use.rpcs_per_s for use in proxies.values() if use not in behind)
        if used <= want * total:
            self.assertLessEqual(used + rest * share, want * total + 1e-6)
        else:
            self.assertEqual(share if rest else 0.0, 0.0)

    def test_only_safe_methods_are_retried(self):
        """A retry of a method that must not run twice runs it twice: of a non-idempotent one always, of a tokened one if
        not all nodes recognise its repeats or its window is over.
        """
        method = START.methods[0]
        for repeat, group, window, repeats in (
            (ifc.Idempotency.IDEMPOTENT, ifc.DedupScope.ALL, 0.0, True),
            (ifc.Idempotency.NON_IDEMPOTENT, ifc.DedupScope.ALL, 9e9, False),
            (ifc.Idempotency.TOKENED, ifc.DedupScope.ALL, 4000.0, True),
            (ifc.Idempotency.TOKENED, ifc.DedupScope.ZONE, 4000.0, False),
            (ifc.Idempotency.TOKENED, ifc.DedupScope.ALL, 0.0, False),
        ):
            one = replace(method, repeat=repeat, group=group, token_ms=window)
            count, on, each = assign.retries_of(one, START.permits)
            self.assertEqual(count > 0, repeats, one)
            self.assertEqual(bool(on), repeats)
            if repeat == ifc.Idempotency.TOKENED and repeats:
                self.assertLessEqual(count * each, window)

    def test_routes_of_a_build_on_trial(self):
        """A build on trial must get nothing where its status forbids it: while it goes back, in a stage that is closed
        to the method, or from a stored view, after which the rollout may have changed.
        """
        routes = {route.method: route for route in assign_fleet().routes}
        self.assertEqual([name for name, _ in routes["posti"].weighted_clusters], ["earlier", "build-2"])
        self.assertEqual(routes["posti"].max_retries, 0)  # a retry would be a further pick at the trial build
        rolled_back = assign_fleet(news=replace(TRIAL, phase=ifc.RolloutPhase.GOING_BACK, cap=0.0))
        self.assertEqual(rolled_back.routes[0].weighted_clusters, (("earlier", assign.SHARE_DENOMINATOR),))
        closed = replace(START, exposure=replace(START.exposure, closed_stages=2))
        routes = {route.method: dict(route.weighted_clusters) for route in assign_fleet(start=closed).routes}
        self.assertIn("build-2", routes["posti"])
        self.assertNotIn("build-2", routes["immatricola"])
        last_stage = assign_fleet(*FLEET[3:], news=replace(TRIAL, stage=3, cap=1.0))
        self.assertEqual(last_stage.routes[0].weighted_clusters, (("build-2", assign.SHARE_DENOMINATOR),))
        stale_view = assign_fleet(fresh=False)
        self.assertEqual(stale_view.routes[0].weighted_clusters, (("earlier", assign.SHARE_DENOMINATOR),))

    def test_the_excess_of_a_cold_node_is_dropped(self):
        """Proxies don't know each other's RPCs: a cold node that is weighted fairly can still get more than it may."""
        cold = node(9, started=9999.0)
        assignment = assign.assign_cluster(
            "c", [NodeView(cold, 0.0, 1.0)], node_addresses(cold), 10_000.0, START.guards, 0.001, 10.0
        )
        self.assertGreater(assignment.drop_share, 0.5)
        warm = assign.assign_cluster(
            "c", [NodeView(node(9), 0.0, 1.0)], node_addresses(cold), 10_000.0, START.guards, 0.001, 10.0
        )
        self.assertEqual(warm.drop_share, 0.0)


class SnapshotCacheTest(unittest.TestCase):
    def test_drains_are_published_at_once_and_weights_are_merged(self):
        """A drain that is merged with other changes leaves RPCs going to a node that ends; weights published one by one
        keep all proxies busy.
        """
        cache = published_cache()
        warmer = [replace(n, size=n.size + 0.5 * (n.node == 1)) for n in FLEET]
        self.assertFalse(cache.update(1000.0, make_view(*warmer), node_addresses(*FLEET)))
        self.assertIsNone(cache.publish(1050.0))
        self.assertIsNotNone(cache.publish(1100.0))
        drained = [replace(n, state=ifc.NodeState.DRAINING) if n.node == 1 else n for n in warmer]
        self.assertTrue(cache.update(1200.0, make_view(*drained), node_addresses(*FLEET)))
        self.assertIsNotNone(cache.publish(1200.0))

    def test_versions_depend_on_neither_instance_nor_order(self):
        """Versions that differ between instances make every proxy load everything again after a restart."""
        reordered = SnapshotCache(START, ZONES, "l2")
        reordered.update(0.0, make_view(*reversed(FLEET)), node_addresses(*reversed(FLEET)))
        self.assertEqual(reordered.publish(0.0).versions, published_cache().snapshot.versions)

    def test_a_removed_cluster_is_kept_empty_for_a_grace_period(self):
        """A cluster that vanishes while routes name it makes proxies fail those RPCs without an endpoint to try."""
        cache = published_cache(removal_grace_ms=1000.0)
        cache.update(
            10.0,
            make_view(*FLEET[:3], news=replace(TRIAL, phase=ifc.RolloutPhase.WITHDRAWN, cap=0.0)),
            node_addresses(*FLEET[:3]),
        )
        snapshot = cache.publish(10.0)
        self.assertIn("build-2/posti", snapshot.of(CDS))
        empty = endpoint_pb2.ClusterLoadAssignment()
        resources.any_pb2.Any.FromString(snapshot.of(EDS)["build-2"].payload).Unpack(empty)
        self.assertEqual(len(empty.endpoints), 0)
        self.assertNotIn("build-2/posti", cache.publish(1011.0).of(CDS))

    def test_a_disconnected_proxy_counts_until_its_ttl(self):
        """A proxy that loses its stream routes on by what it was sent last. Forgotten at once, its trial picks would come
        on top of the cap.
        """
        cache = published_cache(proxy_ttl_ms=1000.0)
        stream = cache.open_stream(0.0, "p", True)
        stream.handle_request(DiscoveryRequest(RDS, subscribe=(resources.ROUTE_CONFIGURATION_NAME,)))
        for response in cache.pending_responses(stream):
            stream.handle_request(DiscoveryRequest(RDS, response.nonce))
        share = cache.proxy_loads()["p"].trial_shares
        self.assertGreater(max(share), 0.0)
        cache.close_stream(10.0, "p", stream)
        self.assertEqual(cache.proxy_loads()["p"].trial_shares, share)
        cache.expire_proxies(2000.0)
        self.assertEqual(cache.proxy_loads(), {})

    def test_the_number_of_proxies_is_bounded(self):
        """Node ids are chosen by clients: without a bound, ever new ones fill the memory."""
        cache = published_cache(max_proxies=1)
        self.assertIsNotNone(cache.open_stream(0.0, "a", True))
        self.assertIsNotNone(cache.open_stream(0.0, "a", False))  # two streams with one node id
        self.assertIsNone(cache.open_stream(0.0, "b", True))


class StoreTest(unittest.TestCase):
    def test_a_damaged_file_falls_back_to_the_previous_generation(self):
        """A file that was cut off by a crash must be noticed wherever it was cut, and not be served."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "v"
            self.assertEqual(store.load(path), (None, []))
            store.save(path, make_view(*FLEET[:1]), [])
            store.save(path, make_view(*FLEET), list(node_addresses(*FLEET).values()))
            (stored, addresses), lines = store.load(path)
            self.assertEqual((len(stored.nodes), len(addresses), stored.fresh, lines), (5, 5, False, []))
            whole = path.read_bytes()
            for cut in range(0, len(whole), 37):
                path.write_bytes(whole[:cut])
                (stored, _), lines = store.load(path)
                self.assertEqual((len(stored.nodes), len(lines)), (1, 1))
