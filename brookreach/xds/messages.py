"""What is said on a stream, either way, without I/O: resources, snapshots, requests, responses, refusals."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

PREFIX = "type.googleapis.com/"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LDS = PREFIX + "envoy.config.listener.v3.Listener"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
ORDER = (CDS, EDS, LDS, RDS)
WILDCARD = "*"
WILD = (CDS, LDS)  # an empty first list of names asks for all of these


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

    def of(self, kind: str) -> Mapping[str, Resource]:
        return self.resources.get(kind, {})


@dataclass(frozen=True)
class Ask:
    """A request, either way. `names` is for state of the world; the other lists for delta."""

    kind: str
    nonce: str = ""
    version: str = ""
    names: tuple[str, ...] = ()
    error: str = ""
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Answer:
    """A response, either way. `removed` is for delta only."""

    kind: str
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True)
class Limits:
    """Bounds of one stream."""

    names: int = 4096
    name_bytes: int = 512
    kinds: int = 32
    error_bytes: int = 400


class Refused(Exception):
    """The stream ends with this; `code` is a gRPC status by name."""

    def __init__(self, code: str, text: str):
        super().__init__(text)
        self.code = code
