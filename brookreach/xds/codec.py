"""Requests and responses of the discovery service to and from their published protobuf messages.

Responses that are alike for many streams are serialised once. The module knows nothing of what a resource means.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from brookreach.xds.messages import DiscoveryRequest, DiscoveryResponse

MAX_CACHED_RESPONSES = 256


def _error_detail(request: Any) -> str:  # any: the protobuf messages are not typed
    """Return the code and text of a NACK; empty for an ACK."""
    if not request.HasField("error_detail"):
        return ""
    return f"{request.error_detail.code} {request.error_detail.message}"


def sotw_request(request: Any) -> DiscoveryRequest:
    """Return a `discovery_pb2.DiscoveryRequest` (state of the world) as a request."""
    return DiscoveryRequest(
        request.type_url,
        request.response_nonce,
        request.version_info,
        tuple(request.resource_names),
        _error_detail(request),
    )


def delta_request(request: Any) -> DiscoveryRequest:
    """Return a `discovery_pb2.DeltaDiscoveryRequest` as a request."""
    return DiscoveryRequest(
        request.type_url,
        request.response_nonce,
        error_detail=_error_detail(request),
        subscribe=tuple(request.resource_names_subscribe),
        unsubscribe=tuple(request.resource_names_unsubscribe),
        initial_resource_versions=dict(request.initial_resource_versions),
    )


class ResponseEncoder:
    """Serialises responses. Those that differ in the nonce alone share their bytes.

    Attributes:
        encoded_count: How often a response had to be serialised.
    """

    def __init__(self) -> None:
        self._cache: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self.encoded_count = 0

    def encode(self, response: DiscoveryResponse, delta: bool) -> bytes:
        """Return the response as a message of the delta variant or of state of the world."""
        key = (
            delta,
            response.type_url,
            response.version_info,
            response.removed_resources,
            tuple((resource.name, resource.version) for resource in response.resources),
        )
        body = self._cache.get(key)
        if body is None:
            body = self._encode_delta(response) if delta else self._encode_sotw(response)
            self.encoded_count += 1
            self._cache[key] = body
            while len(self._cache) > MAX_CACHED_RESPONSES:
                self._cache.popitem(last=False)
        # In protobuf's wire format, concatenated messages of one type are merged into one.
        message_type = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
        nonce: bytes = message_type(nonce=response.nonce).SerializeToString()
        return body + nonce

    @staticmethod
    def _encode_sotw(response: DiscoveryResponse) -> bytes:
        message = discovery_pb2.DiscoveryResponse(version_info=response.version_info, type_url=response.type_url)
        for resource in response.resources:
            message.resources.add().ParseFromString(resource.payload)
        return bytes(message.SerializeToString())

    @staticmethod
    def _encode_delta(response: DiscoveryResponse) -> bytes:
        message = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=response.version_info,
            type_url=response.type_url,
            removed_resources=response.removed_resources,
        )
        for resource in response.resources:
            added = message.resources.add(name=resource.name, version=resource.version)
            added.resource.ParseFromString(resource.payload)
        return bytes(message.SerializeToString())
