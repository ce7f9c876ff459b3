"""The streams of the aggregated discovery service (ADS), by gRPC on the running loop.

A stream has a task that reads and one that writes. The writer asks the cache what is due and writes one response after
the other. gRPC's flow control holds it up, so that a slow reader costs one response a type and no queue. Responses are
serialised once for all streams that get the same; only the nonce differs.
"""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import anyio
import grpc
from envoy.service.discovery.v3 import discovery_pb2

from brookreach.xds.codec import ResponseEncoder, delta_request, sotw_request
from brookreach.xds.first_requests import FirstRequestReader
from brookreach.xds.messages import DiscoveryRequest, Limits, StreamRejectedError
from brookreach.xds.permissions import NodeIdPermissions, peer_names
from brookreach.xds.records import BalancerView, NodeAddress
from brookreach.xds.snapshot_cache import SnapshotCache
from brookreach.xds.stream import AdsStream

STATUS_CODES = {
    "INVALID_ARGUMENT": grpc.StatusCode.INVALID_ARGUMENT,
    "RESOURCE_EXHAUSTED": grpc.StatusCode.RESOURCE_EXHAUSTED,
    "PERMISSION_DENIED": grpc.StatusCode.PERMISSION_DENIED,
    "UNAVAILABLE": grpc.StatusCode.UNAVAILABLE,
}
"""gRPC's statuses by the names that `StreamRejectedError` uses."""

MAX_NODE_ID_BYTES = 256
MAX_METADATA_BYTES = 64 << 10
IDLE_CHECK_S = 1.0
"""How often publishing is checked while no change is known."""


def monotonic_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


class AdsServer:
    """All streams of one server.

    Attributes:
        cache: What is sent.
        log: Takes one line.
        permissions: Which node ids a client may use; replaced when the configuration is read again.
        limits: Of each stream.
        max_streams: Streams that may be open at a time.
        clock: The time in ms.
        encoder: Shared by all streams.
        open_streams: How many are open, with those that have not sent a request yet.
        first_requests: Reads the first request of each stream.
        wakeups: By stream: set when it may have something to send.
        changed: Set when the cache may have something to publish.
    """

    def __init__(
        self,
        cache: SnapshotCache,
        log: Callable[[str], None],
        permissions: NodeIdPermissions | None = None,
        limits: Limits | None = None,
        max_streams: int = 4096,
        clock: Callable[[], float] = monotonic_ms,
    ):
        self.cache = cache
        self.log = log
        self.permissions = permissions or NodeIdPermissions()
        self.limits = limits or Limits()
        self.max_streams = max_streams
        self.clock = clock
        self.encoder = ResponseEncoder()
        self.open_streams = 0
        self.first_requests = FirstRequestReader()
        self.wakeups: dict[AdsStream, anyio.Event] = {}
        self.changed = anyio.Event()

    def update(self, view: BalancerView, addresses: Mapping[int, NodeAddress]) -> None:
        """Set the view that is served."""
        self.cache.update(self.clock(), view, addresses)
        self.changed.set()

    async def publish(self) -> None:
        """Publish snapshots as they become due, until cancelled."""
        while True:
            now = self.clock()
            if self.cache.publish(now) is not None:
                self.wake_all()
            wait_s = (self.cache.publish_at - self.clock()) / 1000.0
            with anyio.move_on_after(max(0.0, wait_s) if math.isfinite(wait_s) else IDLE_CHECK_S):
                await self.changed.wait()
            self.changed = anyio.Event()

    def wake_all(self) -> None:
        """Let every stream check what it has to send."""
        for wakeup in self.wakeups.values():
            wakeup.set()

    async def state_of_the_world(self, requests: AsyncIterator[bytes], context: Any) -> None:
        """Handle the method StreamAggregatedResources."""
        await self.stream(requests, context, False)

    async def delta(self, requests: AsyncIterator[bytes], context: Any) -> None:
        """Handle the method DeltaAggregatedResources."""
        await self.stream(requests, context, True)

    def authorize(self, request: Any, context: Any) -> str:
        """Return the node id of a stream's first request.

        Raises:
            StreamRejectedError: It is no valid node id, or not one of this client's.
        """
        node = request.node.id
        node_bytes = len(node.encode())
        if not node or node_bytes > MAX_NODE_ID_BYTES:
            text = f"node.id: {node_bytes} bytes; 1 to {MAX_NODE_ID_BYTES} are allowed"
            raise StreamRejectedError("INVALID_ARGUMENT", text)
        if request.node.metadata.ByteSize() > MAX_METADATA_BYTES:
            raise StreamRejectedError("INVALID_ARGUMENT", f"node.metadata: over {MAX_METADATA_BYTES} bytes")
        if not self.permissions.allows(peer_names(context), node):
            raise StreamRejectedError("PERMISSION_DENIED", f"this certificate may not speak for node {node!r}")
        return str(node)

    async def stream(self, requests: AsyncIterator[bytes], context: Any, delta: bool) -> None:
        """Serve one stream until its client ends it or is rejected.

        Args:
            requests: The serialised requests.
            context: The call's `grpc.aio.ServicerContext`; any: grpc is not typed.
            delta: Whether it is the delta variant.
        """
        name, stream = "", None
        message_type = discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        decode = delta_request if delta else sotw_request
        self.open_streams += 1
        try:
            self._check_open_streams()
            data = await self.first_requests.read(requests)
            if data is None:
                return
            request = _parse(message_type, data)
            name = self.authorize(request, context)
            stream = self._open(name, delta)
            stream.handle_request(decode(request))
            await self._serve(requests, context, stream, name, lambda data: decode(_parse(message_type, data)))
        except StreamRejectedError as error:
            self.log(f"proxy {name or 'unknown'} ended: {error.code} {error}")
            await context.abort(STATUS_CODES[error.code], str(error))
        finally:
            self.open_streams -= 1
            if stream is not None:
                self.wakeups.pop(stream, None)
                self.cache.close_stream(self.clock(), name, stream)

    def _check_open_streams(self) -> None:
        if self.open_streams > self.max_streams:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"{self.max_streams} streams are open")

    def _open(self, name: str, delta: bool) -> AdsStream:
        stream = self.cache.open_stream(self.clock(), name, delta, self.limits)
        if stream is None:
            raise StreamRejectedError("RESOURCE_EXHAUSTED", f"{self.cache.max_proxies} proxies are known")
        self.wakeups[stream] = anyio.Event()
        self.wakeups[stream].set()
        return stream

    async def _serve(
        self,
        requests: AsyncIterator[bytes],
        context: Any,
        stream: AdsStream,
        name: str,
        decode: Callable[[bytes], DiscoveryRequest],
    ) -> None:
        """Read requests and write responses; raises StreamRejectedError after a request that ends the stream."""
        rejections: list[StreamRejectedError] = []
        async with anyio.create_task_group() as tasks:

            async def read() -> None:
                try:
                    async for data in requests:
                        stream.handle_request(decode(data))
                        self._handle_acknowledgements(stream, name)
                        self.wakeups[stream].set()
                except StreamRejectedError as error:
                    rejections.append(error)
                tasks.cancel_scope.cancel()

            tasks.start_soon(read)
            while True:
                await self.wakeups[stream].wait()
                self.wakeups[stream] = anyio.Event()
                while responses := self.cache.pending_responses(stream):
                    for response in responses:
                        await context.write(self.encoder.encode(response, stream.delta))
        if rejections:
            raise rejections[0]

    def _handle_acknowledgements(self, stream: AdsStream, name: str) -> None:
        """Log a stream's NACKs, and tell the cache of ACKs and NACKs."""
        for url, version, text in stream.nacked:
            self.log(f"proxy {name} NACK {url.rsplit('.', 1)[-1]} {version[:12]}: {text}")
        if stream.acked or stream.nacked:
            self.cache.handle_ack(self.clock(), name)
            self.changed.set()
        stream.nacked.clear()
        stream.acked.clear()


def _parse(message_type: Any, data: bytes) -> Any:
    try:
        return message_type.FromString(data)
    except Exception:  # protobuf's DecodeError, and what its C core raises for deep nesting
        raise StreamRejectedError("INVALID_ARGUMENT", "a request that is no DiscoveryRequest") from None
