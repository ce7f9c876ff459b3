"""Which proxies a client certificate may speak for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NAME_PROPERTIES = ("x509_subject_alternative_name", "x509_common_name")
"""Properties of gRPC's authentication context that hold the names of a verified client certificate."""


@dataclass(frozen=True)
class NodeIdPermissions:
    """The node ids that each client may use.

    Attributes:
        by_name: A certificate's name and its node ids; a star at the end of a node id stands for any rest. If there
            is no entry at all, every client may use every node id.
    """

    by_name: tuple[tuple[str, tuple[str, ...]], ...] = ()

    def allows(self, names: set[str], node: str) -> bool:
        """Return whether a client whose certificate has these names may use a node id."""
        if not self.by_name:
            return True
        return any(name in names and any(_matches(one, node) for one in nodes) for name, nodes in self.by_name)


def _matches(pattern: str, node: str) -> bool:
    return node == pattern or (pattern.endswith("*") and node.startswith(pattern[:-1]))


def peer_names(context: Any) -> set[str]:
    """Return the names of the client's certificate; none without one.

    Args:
        context: A call's `grpc.aio.ServicerContext`; any: grpc is not typed.
    """
    properties = context.auth_context()
    return {value.decode("utf-8", "replace") for key in NAME_PROPERTIES for value in properties.get(key, ())}
