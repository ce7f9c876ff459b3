"""Streams over loopback, requests that end them, TLS, and the whole control plane beside stand-ins."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import anyio
import grpc
import grpc.aio
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

from brookreach import interface as ifc
from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds import ads_server, config, resources, store
from brookreach.xds.control_plane import ControlPlane
from brookreach.xds.messages import CDS, EDS, LDS, RDS
from brookreach.xds.permissions import NodeIdPermissions
from tests.xds_rig import (
    FLEET,
    StreamClient,
    make_certificate,
    make_view,
    node_addresses,
    published_cache,
    serve_on_loopback,
    to_pem,
)

from .helpers import RecordedLog, SimulatedDeployment


class ServeTest(unittest.TestCase):
    def test_streams_over_loopback(self):
        """Both variants over gRPC: a response in the wrong form, a NACK that is not logged or a drain that is not pushed
        shows only on a real stream.
        """
        lines = []

        async def run():
            cache = published_cache()
            ads = ads_server.AdsServer(cache, lines.append, clock=lambda: 0.0)
            async with serve_on_loopback(ads) as (channel, _):
                for delta in (False, True):
                    client = StreamClient(channel, delta, f"p{delta}")
                    await client.send(CDS)
                    clusters = await client.receive()
                    await client.send(CDS, clusters.nonce)
                    await client.send(EDS, names=["earlier", "build-2"])
                    endpoints = await client.receive()
                    self.assertEqual(len(endpoints.resources), 2)
                    await client.send(EDS, endpoints.nonce, () if delta else ["earlier", "build-2"], error="can't")
                    await client.send(RDS, names=[resources.ROUTE_CONFIGURATION_NAME])
                    routes = await client.receive()
                    self.assertEqual(routes.type_url, RDS)
                    body = routes.resources[0].resource if delta else routes.resources[0]
                    table = route_pb2.RouteConfiguration()
                    body.Unpack(table)
                    self.assertEqual(table.virtual_hosts[0].routes[-1].direct_response.status, 400)
                    drained = [replace(n, state=ifc.NodeState.DRAINING) if n.node == 1 + delta else n for n in FLEET]
                    ads.update(make_view(*drained), node_addresses(*FLEET))
                    response = await client.receive()
                    self.assertEqual(response.type_url, EDS)
                    client.call.cancel()
            self.assertEqual(
                [line for line in lines if "NACK" in line],
                [
                    f"proxy p{delta} NACK ClusterLoadAssignment {version}: 13 can't"
                    for delta, version in ((False, lines[0].split()[4][:-1]), (True, lines[1].split()[4][:-1]))
                ],
            )

        anyio.run(run)

    def test_a_rejected_request_ends_its_stream_only(self):
        """A client can send anything. A request that raises in the server instead of ending its stream, or a stream that
        is not counted down, takes other proxies' streams with it.
        """
        lines = []

        async def run():
            ads = ads_server.AdsServer(published_cache(), lines.append, clock=lambda: 0.0, max_streams=2)
            async with serve_on_loopback(ads) as (channel, _):
                for data, code in (
                    (b"\xff\xff\xff", grpc.StatusCode.INVALID_ARGUMENT),
                    (b"", grpc.StatusCode.INVALID_ARGUMENT),
                    (
                        discovery_pb2.DiscoveryRequest(type_url="x", node={"id": "p"}).SerializeToString(),
                        grpc.StatusCode.INVALID_ARGUMENT,
                    ),
                    (
                        discovery_pb2.DiscoveryRequest(type_url=CDS, node={"id": "p" * 300}).SerializeToString(),
                        grpc.StatusCode.INVALID_ARGUMENT,
                    ),
                ):
                    client = StreamClient(channel)
                    await client.call.write(data)
                    with anyio.fail_after(5.0):
                        self.assertEqual(await client.call.code(), code)
                good = StreamClient(channel, name="good")
                await good.send(CDS)
                self.assertEqual(len((await good.receive()).resources), 6)
                silent = StreamClient(channel, name="second")  # it says nothing, and counts
                with anyio.fail_after(5.0):
                    while ads.open_streams < 2:
                        await anyio.sleep(0.01)
                    third = StreamClient(channel, name="third")
                    self.assertEqual(await third.call.code(), grpc.StatusCode.RESOURCE_EXHAUSTED)
                silent.call.cancel()
            with anyio.fail_after(5.0):
                while ads.open_streams:
                    await anyio.sleep(0.01)
            self.assertEqual(ads.wakeups, {})

        anyio.run(run)

    def test_mutual_tls_and_credentials_that_change_under_a_stream(self):
        """New credentials must serve new connections without ending open streams, and a certificate must not speak for
        other node ids than its own.
        """

        async def run():
            authority = make_certificate(["ca"], authority=True)
            trusted = to_pem(*authority)[0]
            client = to_pem(*make_certificate(["edge.example.org"], signer=authority))
            with tempfile.TemporaryDirectory() as folder:
                paths = [Path(folder) / name for name in ("c", "k", "t")]
                lines = []

                def write_files(signer):
                    for path, data in zip(
                        paths,
                        (*to_pem(*make_certificate(["control.example.org"], signer=signer)), trusted),
                        strict=True,
                    ):
                        path.write_bytes(data)

                write_files(authority)
                reloader = CredentialsReloader(*paths, "control.example.org", lines.append)
                serial = reloader.credentials.serial
                ads = ads_server.AdsServer(
                    published_cache(),
                    lines.append,
                    NodeIdPermissions((("edge.example.org", ("edge-*",)),)),
                    clock=lambda: 0.0,
                )
                credentials = grpc.ssl_channel_credentials(trusted, client[1], client[0])
                async with serve_on_loopback(ads, reloader, credentials) as (channel, port):
                    standing = StreamClient(channel, name="edge-1")
                    await standing.send(CDS)
                    first = await standing.receive()
                    write_files(authority)
                    options = [
                        ("grpc.ssl_target_name_override", "control.example.org"),
                        ("grpc.use_local_subchannel_pool", 1),
                    ]
                    async with grpc.aio.secure_channel(f"127.0.0.1:{port}", credentials, options) as other:
                        later = StreamClient(other, name="edge-2")
                        await later.send(CDS)
                        self.assertEqual((await later.receive()).version_info, first.version_info)
                        other_node = StreamClient(other, name="core-1")
                        await other_node.send(CDS)
                        with anyio.fail_after(5.0):
                            self.assertEqual(await other_node.call.code(), grpc.StatusCode.PERMISSION_DENIED)
                    self.assertNotEqual(reloader.credentials.serial, serial)
                    await standing.send(CDS, first.nonce)
                    await standing.send(LDS)
                    self.assertEqual((await standing.receive()).type_url, LDS)
                self.assertTrue(any("pair changed" in line for line in lines))
                self.assertFalse(any("PRIVATE" in line for line in lines))

        anyio.run(run)

    def test_the_whole_control_plane_beside_stand_ins(self):
        """From discovery's list to the endpoints of a proxy and to the stored view: a part that is built but not connected
        shows only here.
        """

        async def run():
            deployment = SimulatedDeployment()
            async with deployment.open():
                with tempfile.TemporaryDirectory() as folder:
                    path = Path(folder) / "control.toml"
                    (Path(folder) / "m.json").write_text(
                        deployment.config(known={"revision": 0, "complete": True, "members": []})
                    )
                    path.write_text('[serve]\nmarshal = "m.json"\nlisten = "127.0.0.1:0"\nkeep = "v"\n')
                    control_plane = ControlPlane(path, config.read_configuration(path))
                    control_plane.runtime.report = RecordedLog()
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(control_plane.run)
                        await control_plane.serving.wait()
                        async with grpc.aio.insecure_channel(f"127.0.0.1:{control_plane.port}") as channel:
                            client = StreamClient(channel, True)
                            await client.send(EDS, names=["earlier"])
                            response = await client.receive()
                            assignment = endpoint_pb2.ClusterLoadAssignment()
                            while not response.resources or not assignment.endpoints:
                                if response.resources:
                                    response.resources[0].resource.Unpack(assignment)
                                    if assignment.endpoints:
                                        break
                                await client.send(EDS, response.nonce)
                                response = await client.receive()
                            port = assignment.endpoints[0].lb_endpoints[0].endpoint.address.socket_address.port_value
                            self.assertEqual(f"127.0.0.1:{port}", deployment.at["node"])
                            await client.send(EDS, response.nonce)
                            deployment.node_phase, deployment.revision = "leaving", 2
                            deployment.list_changed.set()
                            drained = await client.receive()
                            drained.resources[0].resource.Unpack(assignment)
                            self.assertEqual(len(assignment.endpoints), 0)
                        while not (Path(folder) / "v").exists():
                            await anyio.sleep(0.02)
                        path.write_text("[serve]\nmarshall = 3\n")
                        control_plane.reload()
                        self.assertIn("configuration not taken", control_plane.runtime.report.lines[-1])
                        tasks.cancel_scope.cancel()
                    self.assertIsNotNone(store.load(Path(folder) / "v")[0])

        anyio.run(run)
