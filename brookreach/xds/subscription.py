"""What one stream holds of one resource type: what the proxy asked for, has, is being sent and refused."""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.xds.messages import Resource


@dataclass
class Subscription:
    """A type on one stream."""

    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    client_versions: dict[str, str] = field(default_factory=dict)  # what the proxy has or is being sent: name, version
    acked_versions: dict[str, str] = field(default_factory=dict)  # as last ACKed
    pending_versions: dict[str, str] = field(default_factory=dict)  # by the answer under way
    pending_nonce: str = ""  # of the answer under way; empty: none
    last_nonce: str = ""
    nacked_versions: dict[str, str] = field(default_factory=dict)  # versions that it NACKed: not sent again
    requested_again: set[str] = field(default_factory=set)  # asked for anew: sent even where held
    requested: bool = False
    reported_absent: set[str] = field(default_factory=set)  # told as not there
    version_info: str = ""
    responded: bool = False  # at least once
    sent_resources: dict[str, Resource] = field(default_factory=dict)  # of clusters as last told

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names
