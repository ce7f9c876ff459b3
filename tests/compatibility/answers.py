"""What the state answers to each order of each kind of client: its texts are rows, and so part of the state."""

from __future__ import annotations

from typing import Any

from . import text_under_test as text

CLIENTS = ("ops", "n1", "m1")  # an operator, an agent and a marshal with sessions in the stored snapshot


def given(machine: text.StateMachine, orders: dict[str, dict[str, list[str]]]) -> list[list[Any]]:
    """Application, tag, client, whether it was taken, and the text; the first sample of every order."""
    found: list[list[Any]] = []
    for application in sorted(set(orders) - {text.SESSION_APPLICATION}):
        for tag, samples in sorted(orders[application].items()):
            for client in CLIENTS:
                applied = _ask(machine, client, application, bytes.fromhex(samples[0]))
                found.append([application, tag, client, applied.ok, applied.text])
    return found


def _ask(machine: text.StateMachine, client: str, application: str, order: bytes) -> Any:
    rows = text.rows(machine)
    session, kind, _ = rows["sessions"][client]
    number = rows["answers"][client][1] + 1
    question = text.Question(session, number, application, 1, order)
    octets = text.stamp_question(question, machine.at_ms, client, kind)
    return machine.apply(text.Entry(machine.applied + 1, 1, octets))
