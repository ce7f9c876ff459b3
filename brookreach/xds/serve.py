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
from brookreach.xds.book import Book
from brookreach.xds.codec import Writer, delta_ask, whole_ask
from brookreach.xds.messages import Ask, Limits, Refused
from brookreach.xds.stream import Session

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
STATUS = {
    "INVALID_ARGUMENT": grpc.StatusCode.INVALID_ARGUMENT,
    "RESOURCE_EXHAUSTED": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "PERMISSION_DENIED": grpc.StatusCode.PERMISSION_DENIED,
    "UNAVAILABLE": grpc.StatusCode.UNAVAILABLE,
}
MOST_REQUEST, MOST_ID, MOST_META = 1 << 20, 256, 64 << 10


@dataclass(frozen=True)
class Allowed:
    """Which node ids a client certificate's name may speak for; a star at the end stands for the rest."""

    by_name: tuple[tuple[str, tuple[str, ...]], ...] = ()

    def may(self, names: set[str], node: str) -> bool:
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


class Front:
    """All streams of one server."""

    def __init__(
        self,
        book: Book,
        say: Callable[[str], None],
        allowed: Allowed | None = None,
        limits: Limits | None = None,
        streams: int = 4096,
        clock: Callable[[], float] = lambda: time.monotonic() * 1000.0,
    ):
        self.book, self.say, self.allowed, self.limits = book, say, allowed or Allowed(), limits or Limits()
        self.most, self.clock, self.writer = streams, clock, Writer()
        self.open = 0  # streams, those that have said nothing yet among them
        self.wakes: dict[Session, anyio.Event] = {}
        self.changed = anyio.Event()

    def update(self, view: Any, seats: Any) -> None:
        self.book.update(self.clock(), view, seats)
        self.changed.set()

    async def publish(self) -> None:
        """Publishes what is due, merged changes when their time has come."""
        while True:
            now = self.clock()
            if self.book.publish(now) is not None:
                self.wake_all()
            wait = (self.book.dirty_at - self.clock()) / 1000.0
            with anyio.move_on_after(max(0.0, wait) if math.isfinite(wait) else 1.0):
                await self.changed.wait()
            self.changed = anyio.Event()

    def wake_all(self) -> None:
        for event in self.wakes.values():
            event.set()

    async def whole(self, requests: AsyncIterator[bytes], context: Any) -> None:
        await self.stream(requests, context, False)

    async def delta(self, requests: AsyncIterator[bytes], context: Any) -> None:
        await self.stream(requests, context, True)

    def first(self, request: Any, context: Any) -> str:
        """The node's id; raises InvalidFrameError."""
        node = request.node.id
        if not node or len(node.encode()) > MOST_ID:
            raise Refused("INVALID_ARGUMENT", f"node.id: {len(node.encode())} bytes; 1 to {MOST_ID} are allowed")
        if request.node.metadata.ByteSize() > MOST_META:
            raise Refused("INVALID_ARGUMENT", f"node.metadata: over {MOST_META} bytes")
        if not self.allowed.may(peer_names(context), node):
            raise Refused("PERMISSION_DENIED", f"this certificate may not speak for node {node!r}")
        return str(node)

    async def stream(self, requests: AsyncIterator[bytes], context: Any, delta: bool) -> None:
        name, session = "", None
        parse = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        ask_of = delta_ask if delta else whole_ask
        self.open += 1
        try:
            if self.open > self.most:
                raise Refused("RESOURCE_EXHAUSTED", f"{self.most} streams are open")
            async for octets in requests:
                request = self._parse(parse, octets)
                name = self.first(request, context)
                session = self.book.join(self.clock(), name, delta, self.limits)
                if session is None:
                    raise Refused("RESOURCE_EXHAUSTED", f"{self.book.most} proxies are known")
                self.wakes[session] = anyio.Event()
                self.wakes[session].set()
                session.hear(ask_of(request))
                await self._both(requests, context, session, name, parse, ask_of)
                return
        except Refused as refused:
            self.say(f"proxy {name or 'unknown'} ended: {refused.code} {refused}")
            await context.abort(STATUS[refused.code], str(refused))
        finally:
            self.open -= 1
            if session is not None:
                self.wakes.pop(session, None)
                self.book.leave(self.clock(), name, session)

    async def _both(
        self,
        requests: AsyncIterator[bytes],
        context: Any,
        session: Session,
        name: str,
        parse: Any,
        ask_of: Callable[[Any], Ask],
    ) -> None:
        refused: list[Refused] = []
        async with anyio.create_task_group() as tasks:

            async def read() -> None:
                try:
                    async for octets in requests:
                        session.hear(ask_of(self._parse(parse, octets)))
                        self._settled(session, name)
                        self.wakes[session].set()
                except Refused as one:
                    refused.append(one)
                tasks.cancel_scope.cancel()

            tasks.start_soon(read)
            while True:
                await self.wakes[session].wait()
                self.wakes[session] = anyio.Event()
                while answers := self.book.due(session):
                    for answer in answers:
                        await context.write(self.writer.octets(answer, session.delta))
        if refused:
            raise refused[0]

    def _settled(self, session: Session, name: str) -> None:
        for url, version, words in session.nacked:
            self.say(f"proxy {name} NACK {url.rsplit('.', 1)[-1]} {version[:12]}: {words}")
        if session.acked or session.nacked:
            self.book.acked(self.clock(), name)
            self.changed.set()
        session.nacked.clear()
        session.acked.clear()

    @staticmethod
    def _parse(parse: Any, octets: bytes) -> Any:
        try:
            return parse.FromString(octets)
        except Exception:  # protobuf's DecodeError and what its C core raises for deep nesting
            raise Refused("INVALID_ARGUMENT", "a request that is no DiscoveryRequest") from None


def server(front: Front, address: str, reloader: CredentialsReloader | None) -> tuple[grpc.aio.Server, int]:
    """A server bound to `address` (host:port), not started; the port. Raises OSError."""
    made = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MOST_REQUEST),
            ("grpc.keepalive_time_ms", 10_000),
            ("grpc.keepalive_timeout_ms", 5_000),
            ("grpc.so_reuseport", 0),
            ("grpc.max_concurrent_streams", 128),
        ]
    )
    made.add_generic_rpc_handlers(
        (
            grpc.method_handlers_generic_handler(
                SERVICE,
                {
                    "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(front.whole),
                    "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(front.delta),
                },
            ),
        )
    )
    try:
        port = made.add_secure_port(address, credentials(reloader)) if reloader else made.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"can't listen on {address}: {error}") from None
    if port == 0:
        raise OSError(f"can't listen on {address}")
    return made, port


def credentials(reloader: CredentialsReloader) -> grpc.ServerCredentials:
    """Each new connection is offered the credentials in use then; streams that stand are left alone."""

    def configuration() -> grpc.ServerCertificateConfiguration:
        in_use = reloader.credentials
        return grpc.ssl_server_certificate_configuration(
            [(in_use.key, in_use.chain)], root_certificates=in_use.trusted_roots or None
        )

    def fetch() -> grpc.ServerCertificateConfiguration | None:
        return configuration() if reloader.reload() else None

    return grpc.dynamic_ssl_server_credentials(configuration(), fetch, bool(reloader.credentials.trusted_roots))
