"""Messages to clients that wait to be sent."""

from __future__ import annotations

from brookreach.coordination.protocol import messages


class ClientReplies:
    """The messages to clients since they were last taken, in order."""

    def __init__(self) -> None:
        self._messages: list[tuple[str, messages.Body]] = []

    def __bool__(self) -> bool:
        return bool(self._messages)

    def send(self, client: str, message: messages.Body) -> None:
        """Add a message."""
        self._messages.append((client, message))

    def reject(
        self,
        client: str,
        request: messages.Body,
        reason: messages.RejectionReason,
        text: str,
        *,
        leader: str = "",
        retry_after_ms: float = 0.0,
    ) -> None:
        """Tell a client that its request is rejected; a CloseSession has no answer."""
        match request:
            case messages.CloseSession():
                return
            case messages.ProposeRequest(seq=seq) | messages.ReadRequest(seq=seq) | messages.KeepAlive(seq=seq):
                request_number = seq
            case _:
                request_number = 0
        self.send(
            client,
            messages.RequestRejected(
                request_number, reason, text[: messages.MAX_TEXT_LENGTH], leader, int(retry_after_ms)
            ),
        )

    def take(self) -> list[tuple[str, messages.Body]]:
        """Return the messages and forget them."""
        taken = self._messages
        self._messages = []
        return taken
