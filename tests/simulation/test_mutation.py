"""Every field of every message is changed, each change is refused or borne, and the drill finds planted defects."""

import random
import unittest

import msgspec
from msgspec import inspect

from brookreach.applications import APPLICATION_MODULES
from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine import sessions
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.rules import RuleViolation
from brookreach.simulation.coordination.small_limits import small_limits
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.engine.links import GROUP, KEY, FrameReaction, SentFrame, SubstituteFrame
from brookreach.simulation.mutation import drill as mutation_drill
from brookreach.simulation.mutation.frame_mutators import mutate_frame
from brookreach.simulation.mutation.mutation import Family, Mutation
from brookreach.simulation.mutation.mutation_run import MutationRun
from brookreach.simulation.mutation.outcome_table import OutcomeTable
from brookreach.simulation.mutation.record_types import RecordTypes
from brookreach.simulation.mutation.value_mutators import mutate_struct
from brookreach.simulation.mutation.verdicts import Outcome, judge
from tests.simulation.message_examples import example

RECORDS = RecordTypes((sample_application.APPLICATION,))


def framed(body, source="k1", target="k2", nth=0):
    return SentFrame(nth, 0.0, source, target, body, frames.seal_frame(KEY, GROUP, source, target, body))


def examples(kind, times=12):
    """Messages that the table allows."""
    chance, info = random.Random(wire_name(kind)), inspect.type_info(kind)
    return [example(info, chance) for _ in range(times)]


class MutateTest(unittest.TestCase):
    def test_every_field_of_every_message_is_changed(self):
        for kind in messages.ALL_MESSAGES:
            seen = {
                mutated.path.split(".")[0].removesuffix("[]")
                for one in examples(kind)
                for mutated in mutate_struct(RECORDS, one)
            }
            self.assertEqual(seen, set(kind.__struct_fields__), kind.__name__)

    def test_each_changed_value_is_readable_as_said_or_refused(self):
        """Nothing that a reader takes is other than what it was changed to; plain changes are all refused."""
        count = 0
        for kind in messages.ALL_MESSAGES:
            for mutation in mutate_frame(RECORDS, framed(examples(kind)[0]), ("k3", "c1"), random.Random(1)):
                self.assertIn(mutation.family, Family)
                for one in mutation.substitutes:
                    count += 1
                    try:
                        body = frames.open_frame(KEY, GROUP, "k2", one.octets).body
                    except InvalidFrameError as error:
                        self.assertIn(error.name, messages.INVALID_FRAME_REASONS)
                        self.assertIsNone(one.body, mutation)
                        continue
                    if one.body is not None:
                        self.assertEqual(body, one.body)
                    else:
                        self.assertEqual(mutation.family, "other sender", mutation)  # its connection has another name
        self.assertGreater(count, 1000)

    def test_records_inside_are_changed(self):
        ask = messages.ProposeRequest(
            9, 1, "toy", 1, sample_application.encode_command(sample_application.Add("t1", "c1"))
        )
        within = {mutated.path for mutated in mutate_struct(RECORDS, ask)}
        self.assertIn("body.Add.token", within)
        entry = messages.Entry(1, 1, sessions.encode_proposal(ask, 5, "c1", "marshal"))
        append = messages.AppendEntries(1, 0, 0, 0, 1, (entry,))
        within = {mutated.path for mutated in mutate_struct(RECORDS, append)}
        self.assertLessEqual(
            {"entries[].octets.LogRecord.at_ms", "entries[].octets.LogRecord.body.Add.counter"}, within
        )
        changed = {mutated.value.body for mutated in mutate_struct(RECORDS, ask) if mutated.path == "body.Add.token"}
        self.assertIn(sample_application.encode_command(sample_application.Add("t", "c1")), changed)

    def test_records_of_the_pieces(self):
        """Each field of each of their records, read back strictly: as it was changed, or refused."""
        pieces = [sample_application.APPLICATION, *loaded()]
        for piece in pieces:
            reader = msgspec.msgpack.Decoder(piece.commands, strict=True)
            for kind in kinds(piece.commands):
                chance = random.Random(wire_name(kind))
                order = readable(reader, kind, chance)
                for mutated in mutate_struct(RECORDS, order):
                    octets = msgspec.msgpack.encode(mutated.value)
                    try:
                        self.assertEqual(msgspec.msgpack.encode(reader.decode(octets)), octets, mutated)
                    except msgspec.DecodeError:
                        continue


def readable(reader, kind, chance):
    """An order that the piece takes; its own patterns are met by chance."""
    for _ in range(400):
        try:
            made = example(inspect.type_info(kind), chance)
            if hasattr(made, "digest"):  # 64 digits are not met by chance
                made = msgspec.structs.replace(made, digest="0a" * 32)
            return reader.decode(msgspec.msgpack.encode(made))
        except msgspec.DecodeError:
            continue
    raise AssertionError(f"{kind.__name__}: no example of it can be read")


def loaded():
    """The pieces that stand; each is looked at from the day it can be imported."""
    found = []
    for name in APPLICATION_MODULES:
        try:
            found.append(__import__(name, fromlist=["APPLICATION"]).APPLICATION)
        except ModuleNotFoundError:
            continue
    return found


def kinds(orders):
    info = inspect.type_info(orders)
    return [one.cls for one in (info.types if isinstance(info, inspect.UnionType) else [info])]


class VerdictTest(unittest.TestCase):
    """Which column a change falls into, by what came of it."""

    vote = framed(messages.RequestVoteReply(3, False, False, 17))

    def mutation(self, must_be_rejected=False, **fields):
        body = msgspec.structs.replace(self.vote.body, **fields)
        return Mutation(Family.NEIGHBOUR, "", "", (SubstituteFrame(b"", body),), must_be_rejected)

    def test_columns(self):
        lost = [RuleViolation("no acknowledged record lost", 0.0, "")]
        gone = [RuleViolation("no process gone", 0.0, "k1: KeyError: 3")]
        halted = [RuleViolation("no process gone", 0.0, "k1: ReplicaHaltedError: record 3 can't be read")]
        cases = (
            (Outcome.HARMLESS, self.mutation(wall_ms=18), FrameReaction(state_changed=True), []),
            (Outcome.REJECTED_BY_READER, self.mutation(True), FrameReaction(rejection="bad seal"), []),
            (Outcome.DEFECT, self.mutation(True), FrameReaction(state_changed=True), []),
            (Outcome.REJECTED_BY_STATE, self.mutation(term=4), FrameReaction(), []),
            (
                Outcome.REJECTED_BY_STATE,
                self.mutation(term=4),
                FrameReaction(replies=(messages.RequestRejected(1, "busy", "", "", 0),), state_changed=True),
                [],
            ),
            (Outcome.HARMLESS, self.mutation(term=4), None, []),
            (Outcome.TRUSTED_SENDER, self.mutation(vote_granted=True), FrameReaction(state_changed=True), lost),
            (Outcome.DEFECT, self.mutation(wall_ms=18), FrameReaction(state_changed=True), lost),
            (Outcome.DEFECT, self.mutation(vote_granted=True, wall_ms=18), FrameReaction(state_changed=True), lost),
            (Outcome.DEFECT, self.mutation(vote_granted=True), FrameReaction(state_changed=True), gone),
            (Outcome.TRUSTED_SENDER, self.mutation(vote_granted=True), FrameReaction(state_changed=True), halted),
            (
                Outcome.DEFECT,
                self.mutation(vote_granted=True),
                FrameReaction(state_changed=True),
                [RuleViolation("the group goes on", 0.0, "")],
            ),
            (
                Outcome.DEFECT,
                Mutation(Family.DUPLICATED, "", "doubled", (SubstituteFrame(b"", self.vote.body),)),
                FrameReaction(),
                lost,
            ),
        )
        for wanted, change, reaction, broken in cases:
            self.assertEqual(judge(self.vote, change, reaction, broken), wanted, (change, reaction, broken))

    def test_the_table_counts_and_names(self):
        table = OutcomeTable()
        table.add(self.vote, self.mutation(term=4), Outcome.REJECTED_BY_READER, "bad seal", ())
        table.add(
            self.vote, self.mutation(vote_granted=True), Outcome.TRUSTED_SENDER, "", ["no acknowledged record lost"]
        )
        told = table.as_figures()
        self.assertEqual((told["played"], told["refusals by name"]), (2, {"bad seal": 1}))
        self.assertEqual(told["table"], [["Vote", "neighbour", 1, 0, 0, 1, 0]])
        self.assertNotIn("Vote", told["messages never said"])


class DrillTest(unittest.TestCase):
    """A fixed sample of the drill itself."""

    def sample(self, plant="", families=tuple(Family), few=40):
        table = OutcomeTable()
        with inject_defect(mutation_drill.DEFECTS, plant), small_limits(2, 300):
            drill = MutationRun(1, table, 1)
            recorded = drill.record()
            self.assertEqual(recorded.recorder.violations, [])
            drill.choose(recorded)
            chosen = [
                (nth, one) for nth, all_of in sorted(drill.chosen.items()) for one in all_of if one.family in families
            ]
            drill.chosen = {}
            for nth, one in random.Random(7).sample(chosen, min(few, len(chosen))):
                drill.chosen.setdefault(nth, []).append(one)
            self.assertEqual(drill.replay(lambda done: None), recorded.cluster.simulation.trace.digest)
        return table, drill.defects

    def test_a_sample_of_all(self):
        table, defects = self.sample()
        self.assertEqual(defects, [])
        self.assertEqual(
            table.total(Outcome.REJECTED_BY_READER)
            + table.total(Outcome.REJECTED_BY_STATE)
            + table.total(Outcome.HARMLESS)
            + table.total(Outcome.TRUSTED_SENDER),
            40,
        )
        self.assertGreater(table.total(Outcome.REJECTED_BY_READER), 5)
        self.assertGreater(table.total(Outcome.HARMLESS), 2)

    def test_a_reader_that_minds_no_seal_is_found(self):
        _, defects = self.sample("no-seal", ("old seal", "a bit"), 12)
        self.assertTrue(defects)
