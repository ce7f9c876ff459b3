"""Views, caches, certificates and a client of streams for the tests of the xDS control plane."""

import contextlib
import datetime as dt

import anyio
import grpc
import grpc.aio
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from envoy.service.discovery.v3 import discovery_pb2

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.xds import assign, grpc_server
from brookreach.xds.records import BalancerView, NodeAddress, NodeView
from brookreach.xds.snapshot_cache import SnapshotCache

from .helpers import node

START = start_of(CASES["good"], 0, 1)
ZONES = ("a", "b")
TRIAL = ifc.RolloutStatus(False, ifc.Outcome.OK, 1, 0.21, ifc.RolloutPhase.ON_TRIAL, 0.0, 2)
"""Build 2 is on trial at stage 1."""

FIRST_NODE_PORT = 9000


def make_view(*nodes, news=TRIAL, at=10_000.0, **other):
    """A view in which nothing speaks against any node."""
    return BalancerView(at, news, tuple(NodeView(entry, 0.0, 1.0) for entry in nodes), **other)


def node_addresses(*nodes):
    return {entry.node: NodeAddress(entry.node, "127.0.0.1", FIRST_NODE_PORT + entry.node) for entry in nodes}


FLEET = [node(number) for number in (1, 2, 3)] + [node(number, build=2, started=1.0) for number in (4, 5)]
"""Three nodes of an earlier build, two of the build on trial."""


def assign_fleet(*nodes, news=TRIAL, proxies=None, start=START, **other):
    """The assignment of a view of these nodes, by default of `FLEET`."""
    nodes = nodes or FLEET
    return assign.assign(make_view(*nodes, news=news, **other), start, node_addresses(*nodes), proxies or {})


def published_cache(instance_id="l1", **other):
    """A cache that has published a view of `FLEET` at time 0."""
    cache = SnapshotCache(START, ZONES, instance_id, **other)
    cache.update(0.0, make_view(*FLEET), node_addresses(*FLEET))
    cache.publish(0.0)
    return cache


def make_certificate(names, days=30.0, begins=-1.0, signer=None, authority=False):
    """A certificate and its key, valid from `begins` to `days` days from now.

    `signer` is the issuer's certificate and key; without one it is self-signed.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    now = dt.datetime.now(dt.UTC)
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0])])
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(signer[0].subject if signer else name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + dt.timedelta(days=begins))
        .not_valid_after(now + dt.timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(one) for one in names]), False)
        .add_extension(x509.BasicConstraints(authority, None), True)
    )
    certificate = builder.sign(signer[1] if signer else key, hashes.SHA256())
    return certificate, key


def to_pem(certificate, key):
    """Both in PEM, the key without a password."""
    return (
        certificate.public_bytes(serialization.Encoding.PEM),
        key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()),
    )


class StreamClient:
    """A proxy on a real gRPC stream."""

    def __init__(self, channel, delta=False, name="p1"):
        method = "DeltaAggregatedResources" if delta else "StreamAggregatedResources"
        self.delta, self.name = delta, name
        self.call = channel.stream_stream(f"/{grpc_server.ADS_SERVICE}/{method}")()

    async def send(self, url, nonce="", names=(), error="", **other):
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=url, response_nonce=nonce, resource_names_subscribe=names, **other
            )
        else:
            request = discovery_pb2.DiscoveryRequest(type_url=url, response_nonce=nonce, resource_names=names, **other)
        request.node.id = self.name
        if error:
            request.error_detail.code, request.error_detail.message = 13, error
        await self.call.write(request.SerializeToString())

    async def receive(self):
        kind = discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        with anyio.fail_after(5.0):
            data = await self.call.read()
        return None if data == grpc.aio.EOF else kind.FromString(data)


@contextlib.asynccontextmanager
async def serve_on_loopback(ads, reloader=None, client=None, target="127.0.0.1"):
    """Serve on a free port; gives a channel with the client's credentials, and the port."""
    server, port = grpc_server.create_server(ads, "127.0.0.1:0", reloader)
    await server.start()
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ads.publish)
            options = [("grpc.ssl_target_name_override", "control.example.org")]
            async with (
                grpc.aio.secure_channel(f"{target}:{port}", client, options)
                if client
                else grpc.aio.insecure_channel(f"{target}:{port}")
            ) as channel:
                yield channel, port
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await server.stop(0.0)
