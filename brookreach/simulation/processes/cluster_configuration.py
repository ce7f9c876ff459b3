"""The configuration files of a group whose processes reach each other through a relay."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

from brookreach.simulation.processes.ports import HOST, PortAllocator
from brookreach.simulation.processes.relay import RelayEndpoint

GROUP_NAME = "drill"
KEY = b"the drills' own key, 32 bytes or more long"
KEY_FILE_MODE = 0o600  # the program reads no key that others can read


class ClusterConfiguration:
    """Where each replica listens, and by which port of the relay each of the others reaches it.

    Attributes:
        folder: Where files, storage and logs of all processes stand.
        replicas: The members of the group.
        listen_ports: By replica: where it listens itself.
        relay_ports: By process and replica: the port of the relay that leads from the one to the other.
        key: The group's key.
    """

    def __init__(self, folder: Path, replicas: Sequence[str], clients: Sequence[str], ports: PortAllocator):
        self.folder = folder
        self.replicas = tuple(replicas)
        self.key = KEY
        self.listen_ports = {name: ports.allocate() for name in replicas}
        self.relay_ports = {
            (source, target): ports.allocate()
            for source in (*replicas, *clients)
            for target in replicas
            if source != target
        }
        folder.mkdir(parents=True, exist_ok=True)
        self._key_path = folder / "group.key"
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(self._key_path, flags, KEY_FILE_MODE), "wb") as file:
            file.write(KEY)

    def relay_endpoints(self) -> list[RelayEndpoint]:
        """Return what the relay has to listen on."""
        return [
            RelayEndpoint(source, target, port, self.listen_ports[target])
            for (source, target), port in self.relay_ports.items()
        ]

    def relay_ports_of(self, name: str) -> dict[str, int]:
        """Return the ports by which one process reaches each replica."""
        return {target: port for (source, target), port in self.relay_ports.items() if source == name}

    def write_file(self, name: str, timing: Sequence[str] = ()) -> Path:
        """Write the group's file as one process sees it: itself where it listens, the others behind the relay.

        Args:
            name: The process.
            timing: Lines of the table `[timing]`.
        """
        lines = ["[group]", f'name = "{GROUP_NAME}"', f'key = "{self._key_path}"', "", "[timing]", *timing]
        for replica in self.replicas:
            port = self.listen_ports[replica] if replica == name else self.relay_ports[name, replica]
            lines += [
                "",
                "[[keeper]]",
                f'name = "{replica}"',
                f'listen = "{HOST}:{port}"',
                f'disk = "{self.folder / replica}"',
            ]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path
