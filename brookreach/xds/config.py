"""The control plane's TOML file. It is checked as a whole, and every error names the key's path.

Attributes have names of their own where the file's keys are kept for compatibility.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from brookreach.files import InvalidFileError, convert_values, read_toml
from brookreach.xds.permissions import NodeIdPermissions

MAX_PORT = 65_535
LOOPBACK_HOSTS = ("127.0.0.1", "[::1]", "localhost")

Ms = Annotated[float, msgspec.Meta(ge=0.0, le=3_600_000.0)]
ViewIntervalMs = Annotated[float, msgspec.Meta(ge=20.0, le=10_000.0)]
ReloadIntervalMs = Annotated[float, msgspec.Meta(ge=100.0, le=3_600_000.0)]
StreamCount = Annotated[int, msgspec.Meta(ge=1, le=65_536)]


class ServePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[serve]: where the service listens, and how changes are merged.

    Attributes:
        balancer: The JSON file that a balancer would be started with: discovery, platform, settings.
        listen: As host:port.
        merge_ms: How long changes that are not urgent are merged.
        removal_grace_ms: How long a removed cluster is kept without endpoints.
        proxy_ttl_ms: How long a disconnected proxy counts.
        view_interval_ms: How often the balancer's state is read if nothing is known to have changed.
        state_file: Where the last view is stored; empty for nowhere.
        max_streams: Streams that may be open at a time.
    """

    balancer: str = msgspec.field(name="marshal")
    listen: str = "127.0.0.1:18000"
    merge_ms: Ms = 100.0
    removal_grace_ms: Ms = msgspec.field(default=30_000.0, name="linger_ms")
    proxy_ttl_ms: Ms = msgspec.field(default=300_000.0, name="forget_ms")
    view_interval_ms: ViewIntervalMs = msgspec.field(default=250.0, name="view_ms")
    state_file: str = msgspec.field(default="", name="keep")
    max_streams: StreamCount = msgspec.field(default=4096, name="streams")


class TlsPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[tls]: the files of the credentials, which are read again when they change.

    Attributes:
        certificate: The certificate chain.
        key: Of the certificate.
        trusted_roots: Who signs clients' certificates; empty: clients need none.
        name: That the certificate has to be valid for; empty for any.
        reload_interval_ms: How often the files are checked.
    """

    certificate: str
    key: str
    trusted_roots: str = msgspec.field(default="", name="trusted")
    name: str = ""
    reload_interval_ms: ReloadIntervalMs = msgspec.field(default=5000.0, name="look_ms")


class ClientPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[client]]: what one client may speak for.

    Attributes:
        name: A name of its certificate.
        nodes: Node ids; a star at the end of one stands for any rest.
    """

    name: str
    nodes: tuple[str, ...]


class ControlFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    serve: ServePart
    tls: TlsPart | None = None
    client: tuple[ClientPart, ...] = ()

    def permissions(self) -> NodeIdPermissions:
        """Return which node ids each client may use."""
        return NodeIdPermissions(tuple((client.name, client.nodes) for client in self.client))


def read_configuration(path: Path) -> ControlFile:
    """Read a file.

    Raises:
        InvalidFileError: It can't be read, or holds a value that is not allowed.
    """
    return parse_configuration(path, read_toml(path))


def parse_configuration(path: Path, values: dict[str, Any]) -> ControlFile:
    """Check the values of a file as a whole.

    Args:
        path: Where they stand, for the errors.
        values: As TOML gives them; any: nothing is known of them yet.

    Raises:
        InvalidFileError: They are not allowed; it holds one line for each error.
    """
    configuration = convert_values(path, values, ControlFile)
    errors = _listen_errors(path, configuration)
    errors += _client_errors(path, configuration)
    if errors:
        raise InvalidFileError(errors)
    return configuration


def _listen_errors(path: Path, configuration: ControlFile) -> list[str]:
    errors = []
    listen = configuration.serve.listen
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        errors.append(f"{path}: serve.listen: {listen!r}; host:port is allowed")
    if configuration.tls is None and host not in LOOPBACK_HOSTS:
        errors.append(f"{path}: serve.listen: {listen!r} without [tls]; plain only on loopback")
    return errors


def _client_errors(path: Path, configuration: ControlFile) -> list[str]:
    errors = []
    if configuration.client and (configuration.tls is None or not configuration.tls.trusted_roots):
        errors.append(f"{path}: client: names are taken from certificates; tls.trusted is needed")
    for index, client in enumerate(configuration.client):
        if not client.nodes:
            errors.append(f"{path}: client[{index}].nodes: empty; at least one node id is needed")
        errors += [
            f"{path}: client[{index}].nodes: {node!r}; a star may stand at the end only"
            for node in client.nodes
            if "*" in node[:-1] or not node
        ]
    return errors
