"""Requests and responses of the discovery service as the published protobuf messages have them.

What is alike for many streams is serialised once. It must never know what a resource means.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from brookreach.xds.messages import Answer, Ask

MERGES = 256  # serialised responses kept


def _error(request: Any) -> str:
    if not request.HasField("error_detail"):
        return ""
    return f"{request.error_detail.code} {request.error_detail.message}"


def whole_ask(request: Any) -> Ask:
    names = tuple(request.resource_names)
    return Ask(request.type_url, request.response_nonce, request.version_info, names, _error(request))


def delta_ask(request: Any) -> Ask:
    return Ask(
        request.type_url,
        request.response_nonce,
        error=_error(request),
        subscribe=tuple(request.resource_names_subscribe),
        unsubscribe=tuple(request.resource_names_unsubscribe),
        initial=dict(request.initial_resource_versions),
    )


class Writer:
    """Answers as bytes; what is alike for many streams is serialised once."""

    def __init__(self) -> None:
        self.kept: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self.made = 0

    def octets(self, answer: Answer, delta: bool) -> bytes:
        key = (
            delta,
            answer.kind,
            answer.version,
            answer.removed,
            tuple((r.name, r.version) for r in answer.resources),
        )
        body = self.kept.get(key)
        if body is None:
            body = self._delta(answer) if delta else self._whole(answer)
            self.made += 1
            self.kept[key] = body
            while len(self.kept) > MERGES:
                self.kept.popitem(last=False)
        # Parts of a message that stand one after the other are one message.
        part = (discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse)(nonce=answer.nonce)
        return body + part.SerializeToString()

    @staticmethod
    def _whole(answer: Answer) -> bytes:
        made = discovery_pb2.DiscoveryResponse(version_info=answer.version, type_url=answer.kind)
        for one in answer.resources:
            made.resources.add().ParseFromString(one.payload)
        return made.SerializeToString()

    @staticmethod
    def _delta(answer: Answer) -> bytes:
        made = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=answer.version, type_url=answer.kind, removed_resources=answer.removed
        )
        for one in answer.resources:
            held = made.resources.add(name=one.name, version=one.version)
            held.resource.ParseFromString(one.payload)
        return made.SerializeToString()
