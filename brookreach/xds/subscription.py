"""What one stream holds of one resource type: what the proxy asked for, has, is being sent and refused."""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.xds.messages import Resource


@dataclass
class Kind:
    """A type on one stream."""

    wild: bool = False
    names: set[str] = field(default_factory=set)
    held: dict[str, str] = field(default_factory=dict)  # what the proxy has or is being sent: name, version
    good: dict[str, str] = field(default_factory=dict)  # as last ACKed
    sent: dict[str, str] = field(default_factory=dict)  # by the answer under way
    nonce: str = ""  # of the answer under way; empty: none
    last_nonce: str = ""
    refused: dict[str, str] = field(default_factory=dict)  # versions that it NACKed: not sent again
    forced: set[str] = field(default_factory=set)  # asked for anew: sent even where held
    asked: bool = False
    absent: set[str] = field(default_factory=set)  # told as not there
    ack_version: str = ""
    answered: bool = False  # at least once
    bodies: dict[str, Resource] = field(default_factory=dict)  # of clusters as last told

    def wants(self, name: str) -> bool:
        return self.wild or name in self.names
