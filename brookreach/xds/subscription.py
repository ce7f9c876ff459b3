"""The state of one resource type on one stream: what the proxy subscribed to, holds, is being sent and NACKed."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from brookreach.xds.messages import WILDCARD, Resource


@dataclass
class Subscription:
    """One resource type on one stream. Versions are by resource name.

    Attributes:
        wildcard: Whether all resources of the type are subscribed to.
        names: Resources that are subscribed to by name.
        client_versions: What the proxy holds or is being sent.
        acked_versions: What the proxy held when it last sent an ACK.
        pending_versions: What the unanswered response carries.
        pending_nonce: Of the unanswered response; empty where there is none.
        last_nonce: Of the last response, answered or not.
        nacked_versions: What the proxy NACKed; these versions are not sent again.
        requested_again: Resources that were subscribed to anew; they are sent even if the proxy holds them.
        requested: Whether the proxy has sent a request for the type.
        reported_absent: Resources that the proxy was told don't exist.
        version_info: The type's version in the last response.
        responded: Whether at least one response was sent.
        sent_resources: The resources of the last state-of-the-world response of a wildcard type.
    """

    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    client_versions: dict[str, str] = field(default_factory=dict)
    acked_versions: dict[str, str] = field(default_factory=dict)
    pending_versions: dict[str, str] = field(default_factory=dict)
    pending_nonce: str = ""
    last_nonce: str = ""
    nacked_versions: dict[str, str] = field(default_factory=dict)
    requested_again: set[str] = field(default_factory=set)
    requested: bool = False
    reported_absent: set[str] = field(default_factory=set)
    version_info: str = ""
    responded: bool = False
    sent_resources: dict[str, Resource] = field(default_factory=dict)

    def wants(self, name: str) -> bool:
        """Return whether a resource is subscribed to."""
        return self.wildcard or name in self.names

    def subscribe(self, names: Iterable[str], held_names: Container[str]) -> None:
        """Add the names of a delta request.

        Args:
            names: What is subscribed to; "*" stands for all resources.
            held_names: What the proxy holds from an earlier stream: it is sent only if its version has changed.
        """
        for name in names:
            if name == WILDCARD:
                self.wildcard = True
                continue
            self.names.add(name)
            if name not in held_names:
                self.requested_again.add(name)
            self.reported_absent.discard(name)

    def unsubscribe(self, names: Iterable[str]) -> None:
        """Remove the names of a delta request, and forget what the proxy drops by it."""
        for name in names:
            if name == WILDCARD:
                self.wildcard = False
                for other in set(self.client_versions) - self.names:
                    self.client_versions.pop(other)
                    self.acked_versions.pop(other, None)
                continue
            self.names.discard(name)
            self.reported_absent.discard(name)
            self.requested_again.discard(name)
            if not self.wildcard:
                self.client_versions.pop(name, None)
                self.acked_versions.pop(name, None)

    def changed_resources(self, resources: Mapping[str, Resource]) -> dict[str, Resource]:
        """Return the resources that have to be sent.

        These are the ones that the proxy lacks, holds in another version or subscribed to anew. A version that it
        NACKed is sent only if it subscribed to the resource anew.
        """
        return {
            name: resource
            for name, resource in resources.items()
            if name in self.requested_again
            or resource.version not in (self.client_versions.get(name), self.nacked_versions.get(name))
        }
