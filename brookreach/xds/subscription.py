"""The state of one resource type on one stream: what the proxy subscribed to, holds, is being sent and NACKed."""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.xds.messages import Resource


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
