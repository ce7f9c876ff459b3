"""Requests and responses of the discovery service as the published protobuf messages have them.

What is alike for many streams is serialised once. It must never know what a resource means.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from brookreach.xds.messages import DiscoveryRequest, DiscoveryResponse

MAX_CACHED_RESPONSES = 256  # serialised responses kept


def _error(request: Any) -> str:
    if not request.HasField("error_detail"):
        return ""
    return f"{request.error_detail.code} {request.error_detail.message}"


def sotw_request(request: Any) -> DiscoveryRequest:
    names = tuple(request.resource_names)
    return DiscoveryRequest(request.type_url, request.response_nonce, request.version_info, names, _error(request))


def delta_request(request: Any) -> DiscoveryRequest:
    return DiscoveryRequest(
        request.type_url,
        request.response_nonce,
        error_detail=_error(request),
        subscribe=tuple(request.resource_names_subscribe),
        unsubscribe=tuple(request.resource_names_unsubscribe),
        initial_resource_versions=dict(request.initial_resource_versions),
    )


class ResponseEncoder:
    """Answers as bytes; what is alike for many streams is serialised once."""

    def __init__(self) -> None:
        self.cache: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self.encoded_count = 0

    def encode(self, answer: DiscoveryResponse, delta: bool) -> bytes:
        key = (
            delta,
            answer.type_url,
            answer.version_info,
            answer.removed_resources,
            tuple((r.name, r.version) for r in answer.resources),
        )
        body = self.cache.get(key)
        if body is None:
            body = self._delta(answer) if delta else self._whole(answer)
            self.encoded_count += 1
            self.cache[key] = body
            while len(self.cache) > MAX_CACHED_RESPONSES:
                self.cache.popitem(last=False)
        # BalancerRuntime of a message that stand one after the other are one message.
        part = (discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse)(nonce=answer.nonce)
        return body + part.SerializeToString()

    @staticmethod
    def _whole(answer: DiscoveryResponse) -> bytes:
        made = discovery_pb2.DiscoveryResponse(version_info=answer.version_info, type_url=answer.type_url)
        for one in answer.resources:
            made.resources.add().ParseFromString(one.payload)
        return made.SerializeToString()

    @staticmethod
    def _delta(answer: DiscoveryResponse) -> bytes:
        made = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=answer.version_info,
            type_url=answer.type_url,
            removed_resources=answer.removed_resources,
        )
        for one in answer.resources:
            held = made.resources.add(name=one.name, version=one.version)
            held.resource.ParseFromString(one.payload)
        return made.SerializeToString()
