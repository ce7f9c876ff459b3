"""Raft under many seeds of random faults, and with one message at a time changed."""

import itertools
import random
import unittest
from collections import Counter
from unittest import mock

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.timing import Timing
from brookreach.model.raftnet import TIMING, Broken, Net

SEEDS = 300
SMALL = Timing(snapshot_interval_entries=8)


def storm(net: Net, ms: float) -> Counter:
    """Random faults, a proposal or a read in between."""
    chance, did = net.chance, Counter()
    until, nth = net.now + ms, 0
    while net.now < until:
        for _ in range(chance.randrange(1, 12)):
            net.step()
        what = chance.choice(
            (
                "propose",
                "propose",
                "propose",
                "read",
                "cut",
                "heal",
                "heal",
                "stop",
                "start",
                "start",
                "crash",
                "hand",
                "seat",
            )
        )
        leader, names = net.leader(), sorted(net.nodes)
        if what == "propose":
            for _ in range(chance.randrange(1, 8)):
                nth += 1
                did["proposed"] += net.propose(b"%d" % nth) is not None
        elif what == "read":
            for node in net.up():
                did["asked"] += bool(net.read(node))
        elif what == "cut":
            one, other = chance.sample(names, 2)
            net.cut(one + other, *([other + one] if chance.random() < 0.5 else []))
        elif what == "heal":
            net.cuts.clear()
        elif what == "stop" and len(net.up()) > len(names) // 2 + 1:
            net.stop(chance.choice(net.up()).name)
        elif what == "start":
            for node in net.nodes.values():
                if not node.raft:
                    net.start(node.name)
        elif what == "crash" and len(net.up()) > len(names) // 2 + 1:
            net.crash_in_save = chance.choice(("before", "after"))
        elif what == "hand" and leader:
            did["handed"] += leader.raft.transfer_leadership(net.now)
            net.drain(leader)
        elif what == "seat" and leader:
            name = chance.choice(names)
            rest = tuple(one for one in leader.raft.members if one != name)
            if name in leader.raft.members and len(rest) >= 2:
                did["seats"] += leader.raft.change_members(net.now, rest) is not None
            elif name not in leader.raft.members:
                did["seats"] += leader.raft.change_members(net.now, (*rest, name)) is not None
            net.drain(leader)
    net.cuts.clear()
    net.loss, net.crash_in_save = 0.0, ""
    for node in net.nodes.values():
        if not node.raft:
            net.start(node.name)
    did["reads"] = sum(len(node.reads) for node in net.nodes.values())
    return did


class ManySeeds(unittest.TestCase):
    def test_invariants_under_random_faults(self) -> None:
        self.run_seeds(TIMING, range(SEEDS // 2))

    @mock.patch("brookreach.coordination.raft.log.RETAINED_ENTRIES", 0)
    @mock.patch("brookreach.coordination.raft.snapshot_transfer.MAX_SNAPSHOT_CHUNK_BYTES", 100)
    def test_invariants_with_short_logs_and_snapshots_in_many_chunks(self) -> None:
        kinds = self.run_seeds(SMALL, range(SEEDS // 2, SEEDS))
        self.assertGreater(kinds["Part"], SEEDS)

    def run_seeds(self, timing: Timing, seeds: range) -> Counter:
        done: Counter = Counter()
        kinds: Counter = Counter()
        for seed in seeds:
            with self.subTest(seed=seed):
                net = Net(seed, "abc" if seed % 3 else "abcde", timing, 0.1 * (seed % 2), (4.0, 40.0, 120.0)[seed % 3])
                done += storm(net, 2000.0)
                net.most_ms = 4.0
                net.run(700.0).settle()
                place = net.propose(b"last")
                net.run(400.0)
                self.assertEqual(net.truth[place - 1][2], b"last")
                for name in net.leader().raft.members:
                    self.assertEqual(net.nodes[name].applied, net.truth)
                done["leaders"] += len(net.leaders)
                kinds += net.kinds
        for what in ("proposed", "reads", "handed", "seats", "leaders"):
            self.assertGreater(done[what], len(seeds), done)  # the faults had an effect
        return kinds


# What a replica can't send under faults of crash and network, and no reader can tell: it votes twice, ends a log that
# it hasn't, names as committed what isn't, or as on disk.
LIES = {
    ("Vote", "vote_granted"),
    ("Vote", "pre_vote"),
    ("AskVote", "last_index"),
    ("AskVote", "last_term"),
    ("Append", "commit_index"),
    ("Append", "entries"),
    ("Appended", "index"),
    ("Appended", "ok"),
}


def changes(value: object) -> list[object]:
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return [one for one in (value - 1, value + 1, 0, 1, value + 1000, 1 << 53) if one >= 0 and one != value]
    if isinstance(value, bytes):
        return [b"", value[:-1], bytes([value[0] ^ 1]) + value[1:]] if value else [b"x"]
    if isinstance(value, tuple) and value:
        return [(), value[1:], value[:-1], (*value, value[-1])]
    return []


class OneChanged(unittest.TestCase):
    """A run with one message changed by one field, as a sender with the key could: no rule broken, all go on."""

    def play(self, kind: str, nth: int, field: str, which: int) -> bool:
        net, seen = Net(21, timing=Timing(snapshot_interval_entries=10)), 0

        def change(body: messages.Body) -> messages.Body:
            nonlocal seen
            if wire_name(body) != kind:
                return body
            seen += 1
            ways = changes(getattr(body, field))
            if seen != nth or which >= len(ways):
                return body
            done.append(ways[which])
            return msgspec.structs.replace(body, **{field: ways[which]})

        done: list[object] = []
        net.change = change
        net.settle()
        late = next(name for name in "abc" if name != net.leader().name)
        net.apart(late)
        for one in range(20):
            net.propose(b"%d" % one * 400)
            net.run(2.0)
        net.cuts.clear()
        net.run(150.0)
        if net.leader():
            net.leader().raft.transfer_leadership(net.now)
            net.drain(net.leader())
        net.run(600.0)
        net.settle()
        net.propose(b"on")
        net.run(1500.0 if net.leader() is None else 200.0)
        self.assertTrue(all(node.applied == net.truth for node in net.up()), (kind, nth, field, done))
        return bool(done)

    @mock.patch(
        "brookreach.coordination.raft.log.RETAINED_ENTRIES", 0
    )  # so that a short log is cut before a follower has it
    @mock.patch("brookreach.coordination.raft.snapshot_transfer.MAX_SNAPSHOT_CHUNK_BYTES", 3000)
    def test_each_field_of_each_message(self) -> None:
        played: Counter = Counter()
        for kind in messages.REPLICA_MESSAGES:
            for field, nth, which in itertools.product(kind.__struct_fields__, (1, 3), range(6)):
                with self.subTest(kind=wire_name(kind), field=field, nth=nth, which=which):
                    try:
                        played[wire_name(kind)] += self.play(wire_name(kind), nth, field, which)
                    except Broken:
                        self.assertIn((wire_name(kind), field), LIES)
        for kind in messages.REPLICA_MESSAGES:
            self.assertGreater(played[wire_name(kind)], 4, played)

    def test_arbitrary_messages_raise_nothing_and_undo_nothing(self) -> None:
        for seed in range(60):
            net = Net(seed)
            net.settle()
            for _ in range(60):
                node, kind = net.chance.choice(net.up()), net.chance.choice(messages.REPLICA_MESSAGES)
                before = node.raft.term, node.raft.commit_index
                node.raft.handle_message(net.now, net.chance.choice("abcz"), made_up(net.chance, kind, node.raft.term))
                self.assertLessEqual(before, (node.raft.term, node.raft.commit_index))
                self.assertLessEqual(before[1], node.raft.commit_index)
                self.assertLessEqual(node.raft.commit_index, node.raft.state.log.last_index)
                node.raft.tick(net.now + net.chance.choice((0.0, 60.0, 700.0)))
                if node.raft.ready().save:
                    node.raft.on_saved(net.now)


def made_up(chance: random.Random, kind: type, term: int) -> messages.Body:
    """A message of this kind, its figures near what may be."""
    values: dict[str, object] = {"term": max(0, term + chance.choice((-1, 0, 0, 0, 1)))}
    for field in kind.__struct_fields__:
        if field in ("pre_vote", "leadership_transfer", "vote_granted", "ok", "last"):
            values[field] = chance.random() < 0.5
        elif field == "octets":
            values[field] = bytes(chance.randrange(4))
        elif field == "entries":
            first, of = chance.randrange(1, 6), chance.randrange(1, term + 2)
            values[field] = tuple(messages.Entry(first + n, of, b"x") for n in range(chance.randrange(3)))
        elif field != "term":
            values[field] = chance.choice((0, 1, 1, 2, 3, 4, 5, 9, 1 << 53))
    return kind(**values)
