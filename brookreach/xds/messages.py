"""What is said on a stream, either way, without I/O: resources, snapshots, requests, responses, refusals."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

TYPE_URL_PREFIX = "type.googleapis.com/"
CDS = TYPE_URL_PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = TYPE_URL_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = TYPE_URL_PREFIX + "envoy.config.listener.v3.Listener"
RDS = TYPE_URL_PREFIX + "envoy.config.route.v3.RouteConfiguration"
UPDATE_ORDER = (CDS, EDS, LDS, RDS)
WILDCARD = "*"
WILDCARD_TYPES = (CDS, LDS)  # an empty first list of names asks for all of these


@dataclass(frozen=True)
class Resource:
    """One resource as it stands: equal versions mean equal payloads, in any server's life."""

    name: str
    version: str
    payload: bytes


@dataclass(frozen=True)
class Snapshot:
    """All resources by type and name, with a version for each type."""

    versions: Mapping[str, str]
    resources: Mapping[str, Mapping[str, Resource]]

    def of(self, type_url: str) -> Mapping[str, Resource]:
        return self.resources.get(type_url, {})


@dataclass(frozen=True)
class DiscoveryRequest:
    """A request, either way. `names` is for state of the world; the other lists for delta."""

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
    """A response, either way. `removed` is for delta only."""

    type_url: str
    nonce: str
    version_info: str
    resources: tuple[Resource, ...]
    removed_resources: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limits:
    """Bounds of one stream."""

    max_names: int = 4096
    max_name_bytes: int = 512
    max_types: int = 32
    max_error_bytes: int = 400


class StreamRejectedError(Exception):
    """The stream ends with this; `code` is a gRPC status by name."""

    def __init__(self, code: str, text: str):
        super().__init__(text)
        self.code = code
