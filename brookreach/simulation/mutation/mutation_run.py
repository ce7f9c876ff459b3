"""Repeats a recorded run once for each of its chosen mutations.

At a message that is to be mutated the process forks: the child goes on with the mutation, from the same state to the
byte, and reports what came of it. The parent goes on without it.
"""

from __future__ import annotations

import gc
import os
import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.rules import Rule, RuleViolation
from brookreach.simulation.engine.links import SentFrame, SubstituteFrame
from brookreach.simulation.mutation.frame_mutators import mutate_frame, recorded_run_mutator
from brookreach.simulation.mutation.mutation import Mutation
from brookreach.simulation.mutation.outcome_table import OutcomeTable
from brookreach.simulation.mutation.playback import ScriptedRun
from brookreach.simulation.mutation.record_types import RecordTypes
from brookreach.simulation.mutation.verdicts import Outcome, judge

MAX_CHILD_S = 30  # of real time, past which a child hangs
MAX_REPORTED_VIOLATIONS = 8
SAMPLED_FRAMES_PER_MUTATION = 4  # as many frames of one shape are looked at for each mutation that is wanted


class ChildResult(msgspec.Struct):
    """What a child reports to its parent."""

    outcome: Outcome
    rejection: str
    violations: list[RuleViolation]


@dataclass(frozen=True, slots=True)
class FoundDefect:
    """A mutation that was not handled as it must be."""

    frame: SentFrame
    mutation: Mutation
    violations: Sequence[RuleViolation]


@dataclass(frozen=True, slots=True)
class _ChildTask:
    """In a child: the mutation that it plays, and where its result goes."""

    frame: SentFrame
    mutation: Mutation
    pipe: int


class MutationRun:
    """All mutations of the run of one seed.

    Attributes:
        defects: What was found.
        chosen: The mutations to try, by the number of their frame.
    """

    def __init__(self, seed: int, table: OutcomeTable, max_per_kind: int):
        self.defects: list[FoundDefect] = []
        self.chosen: dict[int, list[Mutation]] = {}
        self._seed = seed
        self._table = table
        self._max_per_kind = max_per_kind
        self._frames: list[SentFrame] = []
        self._child_task: _ChildTask | None = None
        self._run: ScriptedRun

    def record(self) -> ScriptedRun:
        """Run once without mutations and record all frames."""

        def record_frame(frame: SentFrame) -> None:
            self._frames.append(frame)

        recorded = ScriptedRun(self._seed, record_frame)
        recorded.run()
        return recorded

    def choose(self, recorded: ScriptedRun) -> int:
        """Choose mutations, spread over the run by the seed; return how many.

        Of each mutation of each shape of message at most `max_per_kind` are chosen.
        """
        types = RecordTypes((sample_application.APPLICATION,))
        mutate_by_run = recorded_run_mutator(self._frames, recorded.term_starts_ms)
        names = (*recorded.cluster.replica_names, recorded.cluster.client_names[0])
        rng = random.Random(f"{self._seed} changes")
        frames_by_shape: dict[str, int] = {}
        found: dict[tuple[str, str], list[tuple[int, Mutation]]] = {}
        for frame in rng.sample(self._frames, len(self._frames)):
            shape = frame_shape(frame)
            frames_by_shape[shape] = frames_by_shape.get(shape, 0) + 1
            if frames_by_shape[shape] > SAMPLED_FRAMES_PER_MUTATION * self._max_per_kind:
                continue
            others = [name for name in names if name not in (frame.source, frame.target)]
            for mutation in (*mutate_frame(types, frame, others, rng), *mutate_by_run(frame)):
                alike = found.setdefault((shape, mutation.name), [])
                if len(alike) < self._max_per_kind:
                    alike.append((frame.number, mutation))
        for alike in found.values():
            for number, mutation in alike:
                self.chosen.setdefault(number, []).append(mutation)
        return sum(map(len, self.chosen.values()))

    def replay(self, progress: Callable[[int], None]) -> str:
        """Repeat the run; return its trace's digest, which must be that of the recorded run.

        Args:
            progress: Called with the number of mutations done so far.
        """
        done = 0

        def intercept(frame: SentFrame) -> Sequence[SubstituteFrame] | None:
            nonlocal done
            if self._child_task is not None:
                return None
            for mutation in self.chosen.get(frame.number, ()):
                if self._fork(frame, mutation):
                    return mutation.substitutes
                done += 1
                progress(done)
            return None

        self._run = ScriptedRun(self._seed, intercept)
        gc.freeze()  # children share what is never collected
        self._run.run()
        if self._child_task is not None:
            self._report_and_exit(self._child_task)
        gc.unfreeze()
        return self._run.cluster.simulation.trace.digest

    def _fork(self, frame: SentFrame, mutation: Mutation) -> bool:
        """Return True in a child, which goes on with the mutation; the parent waits for its result."""
        read_end, write_end = os.pipe()
        child = os.fork()
        if child == 0:
            os.close(read_end)
            self._child_task = _ChildTask(frame, mutation, write_end)
            signal.alarm(MAX_CHILD_S)
            delay_ms = max((substitute.delay_ms for substitute in mutation.substitutes), default=0.0)
            self._run.end_ms = self._run.end_after(frame.at_ms + delay_ms)
            return True
        os.close(write_end)
        with os.fdopen(read_end, "rb") as pipe:
            encoded = pipe.read()
        _, status = os.waitpid(child, 0)
        result = msgspec.json.decode(encoded, type=ChildResult) if encoded else _result_of_dead_child(status)
        self._add_result(frame, mutation, result)
        return False

    def _report_and_exit(self, task: _ChildTask) -> None:
        """End a child with its result."""
        reaction = self._run.cluster.simulation.network.reaction
        violations = self._run.recorder.violations
        outcome = judge(task.frame, task.mutation, reaction, violations)
        rejection = reaction.rejection if reaction else ""
        result = ChildResult(outcome, rejection, violations[:MAX_REPORTED_VIOLATIONS])
        with os.fdopen(task.pipe, "wb") as pipe:
            pipe.write(msgspec.json.encode(result))
        os._exit(0)

    def _add_result(self, frame: SentFrame, mutation: Mutation, result: ChildResult) -> None:
        rules = [violation.rule for violation in result.violations]
        self._table.add(frame, mutation, result.outcome, result.rejection, rules)
        if result.outcome is Outcome.DEFECT:
            self.defects.append(FoundDefect(frame, mutation, result.violations))


def _result_of_dead_child(status: int) -> ChildResult:
    text = f"the play ends with status {status} and without a word"
    return ChildResult(Outcome.DEFECT, "", [RuleViolation(str(Rule.NO_PROCESS_FAILS), 0.0, text)])


def frame_shape(frame: SentFrame) -> str:
    """Return a name for frames of one kind: heartbeats and entries, pre-votes and votes are told apart."""
    marks = [wire_name(frame.body)]
    for name in frame.body.__struct_fields__:
        value = getattr(frame.body, name)
        if isinstance(value, bool | tuple | None):
            marks.append(str(bool(value)))
    return " ".join(marks)
