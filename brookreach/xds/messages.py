"""The messages of a discovery stream and the resources that they carry, without I/O.

The names are those of the xDS transport protocol, so that a field can be looked up in its description.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

TYPE_URL_PREFIX = "type.googleapis.com/"
CDS = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = TYPE_URL_PREFIX + "envoy.config.listener.v3.Listener"
RDS = TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration"

UPDATE_ORDER = (CDS, EDS, LDS, RDS)
"""Make before break: a type is sent after those that it refers to."""

WILDCARD = "*"
WILDCARD_TYPES = (CDS, LDS)
"""Types of which a first request without names subscribes to all resources."""


@dataclass(frozen=True)
class Resource:
    """One resource. Equal versions mean equal payloads, also of different server instances.

    Attributes:
        name: Unique within its type.
        version: A digest of the payload.
        payload: A serialised `google.protobuf.Any`.
    """

    name: str
    version: str
    payload: bytes


@dataclass(frozen=True)
class Snapshot:
    """All resources at one time.

    Attributes:
        versions: The version of each type as a whole, by type URL.
        resources: The resources by type URL and name.
    """

    versions: Mapping[str, str]
    resources: Mapping[str, Mapping[str, Resource]]

    def of(self, type_url: str) -> Mapping[str, Resource]:
        """Return the resources of a type by name; empty for an unknown type."""
        return self.resources.get(type_url, {})


@dataclass(frozen=True)
class DiscoveryRequest:
    """A request of either variant of the protocol.

    Attributes:
        type_url: The resource type.
        nonce: Of the response that is ACKed or NACKed; empty where the request answers none.
        version_info: The last accepted version of the type, as the proxy states it; it is not evaluated.
        resource_names: The whole subscription; state of the world only.
        error_detail: Why the response is NACKed; empty for an ACK.
        subscribe: Names that join the subscription; delta only.
        unsubscribe: Names that leave it; delta only.
        initial_resource_versions: What the proxy holds when the stream begins, by name; delta only.
    """

    type_url: str
    nonce: str = ""
    version_info: str = ""
    resource_names: tuple[str, ...] = ()
    error_detail: str = ""
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial_resource_versions: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class DiscoveryResponse:
    """A response of either variant of the protocol.

    Attributes:
        type_url: The resource type.
        nonce: Unique on the stream and among all server instances.
        version_info: The version of the type as a whole.
        resources: The resources that are sent.
        removed_resources: Names that no longer exist or never did; delta only.
    """

    type_url: str
    nonce: str
    version_info: str
    resources: tuple[Resource, ...]
    removed_resources: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limits:
    """Bounds of one stream.

    Attributes:
        max_names: Resource names in the subscription of one type.
        max_name_bytes: Length of a resource name or type URL.
        max_types: Resource types on the stream.
        max_error_bytes: How much of a NACK's text is logged.
    """

    max_names: int = 4096
    max_name_bytes: int = 512
    max_types: int = 32
    max_error_bytes: int = 400


class StreamRejectedError(Exception):
    """Ends the stream with a gRPC status; the text is its message.

    Attributes:
        code: The status by name, one of `ads_server.STATUS_CODES`.
    """

    def __init__(self, code: str, text: str):
        super().__init__(text)
        self.code = code
