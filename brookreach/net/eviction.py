"""Which client connection makes way for a new one.

This module owns the order in which connections are given up, and the proof that none of them has a query that nobody
will answer. It closes no connection itself.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brookreach.net.client import Client
    from brookreach.net.clients import Clients


def connection_to_evict(clients: Clients) -> Client | None:
    """Return the connection that has been silent or idle for longest, None if there is none that may be closed.

    If few are silent, their first query is on its way, and idle ones are evicted first. One whose next query lies
    unread is passed over; one with a partial message comes last, but first if there is no room to keep that message:
    its query is to be refused anyway.
    """
    silent, idle = clients.silent, clients.idle
    rows = [silent, idle] if len(silent) > len(idle) else [idle, silent]
    for row in [clients.discarding, *rows, clients.partial]:
        if (row is silent or row is clients.discarding) and clients.refusals.is_full():
            continue  # connections that are being refused must not be cut short
        for client in islice(row, clients.limits.messages_per_turn):
            is_asking = client.answers or client.unsent or (row is idle and len(client.inbound))
            if not is_asking and _has_no_unread_query(client):
                return client
    return None


def _has_no_unread_query(client: Client) -> bool:
    """Return whether nothing lies unread, or only a further part of the client's partial message.

    A client that writes a large message slowly has nearly always bytes that lie unread.
    """
    if client.is_quiet():
        return True
    return client.started and client.unread_bytes() < client.inbound.missing_bytes()
