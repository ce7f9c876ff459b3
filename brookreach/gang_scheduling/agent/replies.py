"""Replies of an agent to tasks, by token: whoever asks again gets the same one."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_FINAL_REPLIES = 4096


@dataclass(frozen=True, slots=True)
class TaskReply:
    """A reply to one token. One that is not final is not kept: the task is asked again, or under another token."""

    token: str
    ok: bool
    text: str
    final: bool = True


class TaskReplies:
    """Replies to be sent, and the final ones of the newest tasks."""

    def __init__(self) -> None:
        self._outgoing: list[TaskReply] = []
        self._final: OrderedDict[str, TaskReply] = OrderedDict()

    def drain(self) -> list[TaskReply]:
        """Returns the replies that are to be sent, and forgets that they are."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def is_final(self, token: str) -> bool:
        """Returns whether a task has its final reply."""
        return token in self._final

    def repeat(self, token: str) -> None:
        """Sends the final reply of a task again."""
        self._outgoing.append(self._final[token])

    def postpone(self, token: str, text: str) -> None:
        """Says that a task can't be carried out now."""
        self._outgoing.append(TaskReply(token, ok=False, text=text, final=False))

    def finish(self, token: str, *, ok: bool, text: str) -> None:
        """Gives a task its final reply."""
        reply = TaskReply(token, ok, text)
        self._final[token] = reply
        self._outgoing.append(reply)
        while len(self._final) > MAX_FINAL_REPLIES:
            self._final.popitem(last=False)
