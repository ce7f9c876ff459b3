"""The thin part with sockets: ADS by gRPC on the running loop, over mutual TLS or, on loopback, plain.

A stream is a reader task and a writer. The writer asks the book what is due and writes one answer at a time;
gRPC's flow control holds it up, so a slow reader costs one answer a type and no queue. Responses are
serialised once for all streams that get the same; only the nonce differs.
"""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import grpc
import grpc.aio
from envoy.service.discovery.v3 import discovery_pb2

from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds.codec import ResponseEncoder, delta_request, sotw_request
from brookreach.xds.messages import DiscoveryRequest, Limits, StreamRejectedError
from brookreach.xds.snapshot_cache import SnapshotCache
from brookreach.xds.stream import AdsStream

ADS_SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
STATUS_CODES = {
    "INVALID_ARGUMENT": grpc.StatusCode.INVALID_ARGUMENT,
    "RESOURCE_EXHAUSTED": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "PERMISSION_DENIED": grpc.StatusCode.PERMISSION_DENIED,
    "UNAVAILABLE": grpc.StatusCode.UNAVAILABLE,
}
MAX_REQUEST_BYTES, MAX_NODE_ID_BYTES, MAX_METADATA_BYTES = 1 << 20, 256, 64 << 10


@dataclass(frozen=True)
class NodeIdPermissions:
    """Which node ids a client certificate's name may speak for; a star at the end stands for the rest."""

    by_name: tuple[tuple[str, tuple[str, ...]], ...] = ()

    def allows(self, names: set[str], node: str) -> bool:
        if not self.by_name:
            return True
        return any(
            name in names and any(node == one or (one.endswith("*") and node.startswith(one[:-1])) for one in nodes)
            for name, nodes in self.by_name
        )


def peer_names(context: Any) -> set[str]:
    held = context.auth_context()
    return {
        octets.decode("utf-8", "replace")
        for key in ("x509_subject_alternative_name", "x509_common_name")
        for octets in held.get(key, ())
    }


class AdsServer:
    """All streams of one server."""

    def __init__(
        self,
        cache: SnapshotCache,
        log: Callable[[str], None],
        permissions: NodeIdPermissions | None = None,
        limits: Limits | None = None,
        max_streams: int = 4096,
        clock: Callable[[], float] = lambda: time.monotonic() * 1000.0,
    ):
        self.cache, self.log, self.permissions, self.limits = (
            cache,
            log,
            permissions or NodeIdPermissions(),
            limits or Limits(),
        )
        self.max_streams, self.clock, self.encoder = max_streams, clock, ResponseEncoder()
        self.open_streams = 0  # streams, those that have said nothing yet among them
        self.wakeups: dict[AdsStream, anyio.Event] = {}
        self.changed = anyio.Event()

    def update(self, view: Any, seats: Any) -> None:
        self.cache.update(self.clock(), view, seats)
        self.changed.set()

    async def publish(self) -> None:
        """Publishes what is due, merged changes when their time has come."""
        while True:
            now = self.clock()
            if self.cache.publish(now) is not None:
                self.wake_all()
            wait = (self.cache.publish_at - self.clock()) / 1000.0
            with anyio.move_on_after(max(0.0, wait) if math.isfinite(wait) else 1.0):
                await self.changed.wait()
            self.changed = anyio.Event()

    def wake_all(self) -> None:
        for event in self.wakeups.values():
            event.set()

    async def state_of_the_world(self, requests: AsyncIterator[bytes], context: Any) -> None:
        await self.stream(requests, context, False)

    async def delta(self, requests: AsyncIterator[bytes], context: Any) -> None:
        await self.stream(requests, context, True)

    def authorize(self, request: Any, context: Any) -> str:
        """The node's id; raises InvalidFrameError."""
        node = request.node.id
        if not node or len(node.encode()) > MAX_NODE_ID_BYTES:
            raise StreamRejectedError(
                "INVALID_ARGUMENT", f"node.id: {len(node.encode())} bytes; 1 to {MAX_NODE_ID_BYTES} are allowed"
            )
        if request.node.metadata.ByteSize() > MAX_METADATA_BYTES:
            raise StreamRejectedError("INVALID_ARGUMENT", f"node.metadata: over {MAX_METADATA_BYTES} bytes")
        if not self.permissions.allows(peer_names(context), node):
            raise StreamRejectedError("PERMISSION_DENIED", f"this certificate may not speak for node {node!r}")
        return str(node)

    async def stream(self, requests: AsyncIterator[bytes], context: Any, delta: bool) -> None:
        name, session = "", None
        parse = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        decode = delta_request if delta else sotw_request
        self.open_streams += 1
        try:
            if self.open_streams > self.max_streams:
                raise StreamRejectedError("RESOURCE_EXHAUSTED", f"{self.max_streams} streams are open")
            async for octets in requests:
                request = self._parse(parse, octets)
                name = self.authorize(request, context)
                session = self.cache.open_stream(self.clock(), name, delta, self.limits)
                if session is None:
                    raise StreamRejectedError("RESOURCE_EXHAUSTED", f"{self.cache.max_proxies} proxies are known")
                self.wakeups[session] = anyio.Event()
                self.wakeups[session].set()
                session.handle_request(decode(request))
                await self._serve_stream(requests, context, session, name, parse, decode)
                return
        except StreamRejectedError as refused:
            self.log(f"proxy {name or 'unknown'} ended: {refused.code} {refused}")
            await context.abort(STATUS_CODES[refused.code], str(refused))
        finally:
            self.open_streams -= 1
            if session is not None:
                self.wakeups.pop(session, None)
                self.cache.close_stream(self.clock(), name, session)

    async def _serve_stream(
        self,
        requests: AsyncIterator[bytes],
        context: Any,
        session: AdsStream,
        name: str,
        parse: Any,
        decode: Callable[[Any], DiscoveryRequest],
    ) -> None:
        refused: list[StreamRejectedError] = []
        async with anyio.create_task_group() as tasks:

            async def read() -> None:
                try:
                    async for octets in requests:
                        session.handle_request(decode(self._parse(parse, octets)))
                        self._handle_verdicts(session, name)
                        self.wakeups[session].set()
                except StreamRejectedError as one:
                    refused.append(one)
                tasks.cancel_scope.cancel()

            tasks.start_soon(read)
            while True:
                await self.wakeups[session].wait()
                self.wakeups[session] = anyio.Event()
                while answers := self.cache.pending_responses(session):
                    for answer in answers:
                        await context.write(self.encoder.encode(answer, session.delta))
        if refused:
            raise refused[0]

    def _handle_verdicts(self, session: AdsStream, name: str) -> None:
        for url, version, words in session.nacked:
            self.log(f"proxy {name} NACK {url.rsplit('.', 1)[-1]} {version[:12]}: {words}")
        if session.acked or session.nacked:
            self.cache.handle_ack(self.clock(), name)
            self.changed.set()
        session.nacked.clear()
        session.acked.clear()

    @staticmethod
    def _parse(parse: Any, octets: bytes) -> Any:
        try:
            return parse.FromString(octets)
        except Exception:  # protobuf's DecodeError and what its C core raises for deep nesting
            raise StreamRejectedError("INVALID_ARGUMENT", "a request that is no DiscoveryRequest") from None


def create_server(ads: AdsServer, address: str, reloader: CredentialsReloader | None) -> tuple[grpc.aio.Server, int]:
    """A server bound to `address` (host:port), not started; the port. Raises OSError."""
    made = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", 5_000),
            ("grpc.so_reuseport", 0),
            ("grpc.max_concurrent_streams", 128),
        ]
    )
    made.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                ADS_SERVICE,
                {
                    "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(ads.state_of_the_world),
                    "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(ads.delta),
                },
            ),
        )
    )
    try:
        port = (
            made.add_secure_port(address, server_credentials(reloader)) if reloader else made.add_insecure_port(address)
        )
    except RuntimeError as error:
        raise OSError(f"can't listen on {address}: {error}") from None
    if port == 0:
        raise OSError(f"can't listen on {address}")
    return made, port


def server_credentials(reloader: CredentialsReloader) -> grpc.ServerCredentials:
    """Each new connection is offered the credentials in use then; streams that stand are left alone."""

    def configuration() -> grpc.ServerCertificateConfiguration:
        in_use = reloader.credentials
        return grpc.ssl_server_certificate_configuration(
            [(in_use.key, in_use.chain)], root_certificates=in_use.trusted_roots or None
        )

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        return configuration() if reloader.reload() else None

    return grpc.dynamic_ssl_server_credentials(configuration(), fetch, bool(reloader.credentials.trusted_roots))
