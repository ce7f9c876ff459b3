"""Limits of one process's connections: how many, how much they buffer, how long they may take."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.protocol.fields import MAX_COMMAND_BYTES


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of a replica's or client's connections. Queue sizes hold for each connection.

    Attributes:
        max_clients: Clients connected to one replica.
        max_unidentified: Incoming connections that have not sent a valid frame yet.
        max_unidentified_bytes: What these may hold of unfinished frames, all together.
        handshake_timeout_s: Time in which they have to.
        connect_timeout_s: Time for an outgoing TCP connection.
        send_timeout_s: A peer that accepts no bytes for so long is given up.
        max_client_frame_bytes: The longest frame that a client may send.
        max_client_queue_bytes: Unsent bytes at which a client is disconnected; it reconnects and gets a snapshot.
        watch_pause_bytes: Unsent bytes at which a client gets no further watch messages for the time being.
        max_replica_queue_bytes: Unsent bytes at which the oldest frame is dropped; Raft sends it again.
        max_inbox_messages: Messages received and not yet handled, at which reading stops.
        reconnect_delay_s: Delay before the first attempt to reconnect; it doubles up to the next.
        max_reconnect_delay_s: The longest delay between attempts to reconnect.
    """

    max_clients: int = 2048
    max_unidentified: int = 256
    max_unidentified_bytes: int = 16 << 20
    handshake_timeout_s: float = 2.0
    connect_timeout_s: float = 1.0
    send_timeout_s: float = 5.0
    max_client_frame_bytes: int = MAX_COMMAND_BYTES + 4096
    max_client_queue_bytes: int = 4 << 20
    watch_pause_bytes: int = 512 << 10
    max_replica_queue_bytes: int = 8 << 20
    max_inbox_messages: int = 1024
    reconnect_delay_s: float = 0.05
    max_reconnect_delay_s: float = 1.0


DEFAULT_LIMITS = ConnectionLimits()
