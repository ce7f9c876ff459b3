"""One history in which every type of order is taken and every table has had rows. Only `generate` uses it."""

from __future__ import annotations

import hashlib

import msgspec

from .history import MINUTE, SECOND, START_MS, STATE, History

NODES = {"n1": "a", "n2": "a", "n3": "b", "n4": "b", "n5": "c", "n6": "c"}
MARSHALS = ("m1", "m2")
HOUR = 60 * MINUTE


def played() -> History:
    history = History()
    fleet(history)
    power_schedules(history)
    gangs(history)
    permits(history)
    releases(history)
    fence = history.ask("ops", "outages", "Halt", reason="storm", way_back=True)
    history.keep_snapshot()
    last_records(history, fence)
    return history


def node_seen(history: History, node: str, **fields: object) -> None:
    seen = {"node": node, "zone": NODES.get(node, "c"), "build": 7, "service": "s", "room": 10, "standing": "ready"}
    seen |= {"life": 1, "warm": True, "heard": len(history.entries)} | fields
    history.ask(node, "outages", "NodeSeen", **seen)


def marshal_seen(history: History, marshal: str) -> None:
    seen = {"marshal": marshal, "zone": "a", "build": 7, "service": "s", "standing": "ready", "warm": True}
    history.ask(marshal, "outages", "MarshalSeen", **seen, heard=0)


def fleet(history: History) -> None:
    """Budgets, nodes, marshals and their sessions."""
    for client, kind in [("ops", "operator"), ("ops2", "operator")]:
        history.join(client, kind)
    for node in NODES:
        history.join(node, "agent")
    for marshal in MARSHALS:
        history.join(marshal, "marshal")
    budgets = [
        {"kind": "node", "scope": "all", "most_out": 4, "least_ready": 1},
        {"kind": "node", "scope": "zone:c", "most_out": 1, "least_ready": 1},
        {"kind": "marshal", "scope": "all", "most_out": 1, "least_ready": 1},
    ]
    history.ask("ops", "outages", "SetBudgets", rows=budgets)
    for node in NODES:
        node_seen(history, node)
    for marshal in MARSHALS:
        marshal_seen(history, marshal)


def power_schedules(history: History) -> None:
    """Version 1 in force, 2 half sent, 3 dropped; a marshal's calls steered."""
    zones = [["a", 100], ["b", 100]]
    spans = [[zone, START_MS, START_MS + 24 * HOUR, grams] for zone, grams in (("a", 400), ("b", 100))]
    for client, version in (("ops", 1), ("ops", 2), ("ops2", 3)):
        digest = hashlib.sha256(msgspec.msgpack.encode([version, zones, spans])).hexdigest()
        begin = {"digest": digest, "zones": zones, "from_ms": START_MS, "until_ms": START_MS + 24 * HOUR}
        history.ask(client, "power", "Begin", version=version, **begin)
        history.ask(client, "power", "Rows", version=version, part=0, spans=spans)
        if version == 1:
            history.ask(client, "power", "Commit", version=version, digest=digest)
    history.ask("ops2", "power", "Drop", version=3)
    history.ask("m1", "power", "Steer", slot=START_MS // (15 * MINUTE), calls=10, zones=["a", "b"])


def submit(history: History, gang: str, members: int, room: int, **fields: object) -> None:
    order = {"gang": gang, "members": members, "room": room, "work_ms": 4 * HOUR, "cost_ms": 1000, "load_ms": 1000}
    history.ask("ops", "gangs", "Submit", **order | fields)


def run(history: History, gang: str) -> None:
    """Until it runs, its members wherever the group places them."""
    for _ in range(60):
        if not history.agents_act(gang):
            if history.row("gangs", gang)[STATE] == "running":
                return
            history.wait(5 * SECOND)
    raise AssertionError(history.row("gangs", gang))


def gangs(history: History) -> None:
    """One that moved off a node with a notice, one cancelled after a member failed, one that waits for room."""
    for node in NODES:
        history.ask(node, "gangs", "Here", life=1)
    submit(history, "moved", 2, 4, zones=["a", "b"])
    submit(history, "cancelled", 1, 3, flexible=True, deadline_ms=history.now + 23 * HOUR)
    run(history, "moved")
    run(history, "cancelled")
    node, _, fence, *_ = history.row("members", "cancelled/0000")
    history.ask(node, "gangs", "Failed", gang="cancelled", member=0, fence=fence, reason="out of memory")
    run(history, "cancelled")
    history.ask("ops", "gangs", "Cancel", gang="cancelled", reason="no longer wanted")
    history.agents_act("cancelled")
    submit(history, "waiting", 6, 10)
    node = history.row("members", "moved/0000")[0]
    history.ask(node, "gangs", "Measured", gang="moved", cost_ms=2000, load_ms=3000)
    history.ask("ops", "outages", "RetirementNotice", node=node, at_ms=history.now + 10 * MINUTE)
    history.ask("ops", "gangs", "Noticed", node=node)
    history.wait(2 * SECOND)
    run(history, "moved")
    assert history.row("members", "moved/0000")[0] != node
    history.ask("ops", "outages", "RetirementWithdrawn", node=node)


def permits(history: History) -> None:
    """Ended, taken back, returning, waiting and given; a node that is gone for good."""
    drain = {"urgency": 5, "reason": "new disk"}
    history.ask("ops", "outages", "AskDrain", name="ended", node="n5", **drain)
    history.ask("ops", "outages", "AskDrain", name="taken-back", node="n6", **drain)
    history.ask("ops", "outages", "TakeBack", name="taken-back", reason="not needed")
    history.ask("ops", "outages", "AskDrain", name="returning", node="n6", **drain)
    node_seen(history, "n5", life=2)
    history.ask("ops", "outages", "TakeBack", name="returning", reason="not now")
    history.ask("ops", "outages", "AskDrain", name="waiting", node="n5", **drain)
    history.ask("m1", "outages", "AskRestart", name="given", marshal="m1", urgency=4, reason="new build")
    history.ask("ops", "outages", "AskRestart", name="waiting-restart", marshal="m2", urgency=4, reason="")
    history.join("n7", "agent")
    node_seen(history, "n7")
    history.ask("ops", "outages", "Gone", kind="node", name="n7", reason="sold")


def releases(history: History) -> None:
    """Build 8 was sent back, build 9 is half way, with a vote of each kind."""
    release = {"earlier": 7, "shares": [200, 1000], "caps": [100, 1000], "wait_ms": 30 * SECOND}
    release |= {"back_votes": 2, "on_votes": 1}
    history.ask("ops", "outages", "BeginRelease", build=8, **release)
    history.ask("ops", "outages", "SendBack", build=8, reason="wrong package")
    history.wait(SECOND)
    history.ask("ops", "outages", "BeginRelease", build=9, **release)
    history.ask("m1", "outages", "Voted", build=9, stage=1, verdict="on")
    history.ask("m2", "outages", "Voted", build=9, stage=1, verdict="back")


def last_records(history: History, fence: int) -> None:
    """The halt is lifted, another stands; a session's end; time alone."""
    history.ask("ops", "outages", "Resume", fence=fence, reason="calm")
    history.ask("ops", "outages", "Halt", reason="second storm")
    history.leave("n7")
    history.wait(20 * SECOND)
    history.group_record({"type": "Passed"})
