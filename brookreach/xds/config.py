"""The control service's TOML: checked as a whole, every key's path in its errors."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from brookreach.files import InvalidFileError, convert_values, read_toml
from brookreach.xds.permissions import NodeIdPermissions

Ms = Annotated[float, msgspec.Meta(ge=0.0, le=3_600_000.0)]


class ServePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[serve]: where, and how changes are put together."""

    balancer: str = msgspec.field(
        name="marshal"
    )  # the JSON that a marshal would be started with: discovery, platform, settings
    listen: str = "127.0.0.1:18000"
    merge_ms: Ms = 100.0
    removal_grace_ms: Ms = msgspec.field(default=30_000.0, name="linger_ms")
    proxy_ttl_ms: Ms = msgspec.field(default=300_000.0, name="forget_ms")
    view_interval_ms: Annotated[float, msgspec.Meta(ge=20.0, le=10_000.0)] = msgspec.field(
        default=250.0, name="view_ms"
    )
    state_file: str = msgspec.field(default="", name="keep")  # where the last view is kept; empty: nowhere
    max_streams: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = msgspec.field(default=4096, name="streams")


class TlsPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[tls]: files are read again when they change."""

    certificate: str
    key: str
    trusted_roots: str = msgspec.field(
        default="", name="trusted"
    )  # who signs clients; empty: clients need no certificate
    name: str = ""  # that the certificate must be for
    reload_interval_ms: Annotated[float, msgspec.Meta(ge=100.0, le=3_600_000.0)] = msgspec.field(
        default=5000.0, name="look_ms"
    )


class ClientPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[client]]: a certificate's name and the node ids it may speak for; a last star stands for the rest."""

    name: str
    nodes: tuple[str, ...]


class ControlFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    serve: ServePart
    tls: TlsPart | None = None
    client: tuple[ClientPart, ...] = ()

    def permissions(self) -> NodeIdPermissions:
        return NodeIdPermissions(tuple((one.name, one.nodes) for one in self.client))


def read_configuration(path: Path) -> ControlFile:
    """Raises InvalidFileError."""
    return parse_configuration(path, read_toml(path))


def parse_configuration(path: Path, values: dict[str, Any]) -> ControlFile:
    """The values of the file at `path`, checked as a whole; raises InvalidFileError."""
    told = convert_values(path, values, ControlFile)
    errors = []
    host, _, port = told.serve.listen.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65_535:
        errors.append(f"{path}: serve.listen: {told.serve.listen!r}; host:port is allowed")
    if told.tls is None and host not in ("127.0.0.1", "[::1]", "localhost"):
        errors.append(f"{path}: serve.listen: {told.serve.listen!r} without [tls]; plain only on loopback")
    if told.client and (told.tls is None or not told.tls.trusted_roots):
        errors.append(f"{path}: client: names are taken from certificates; tls.trusted is needed")
    for at, one in enumerate(told.client):
        if not one.nodes:
            errors.append(f"{path}: client[{at}].nodes: empty; at least one node id is needed")
        errors += [
            f"{path}: client[{at}].nodes: {node!r}; a star may stand at the end only"
            for node in one.nodes
            if "*" in node[:-1] or not node
        ]
    if errors:
        raise InvalidFileError(errors)
    return told
