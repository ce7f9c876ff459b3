"""Records of rollouts: round trips, damage, bounds, replay."""

import math
import unittest
import zlib
from dataclasses import replace
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.model.world import Wave
from brookreach.verdict import record_writer, replay, wave_recorder, wave_records
from tests.verdict_rig import played

QUICK = settings(max_examples=60, deadline=None, derandomize=True, database=None)
SETTINGS = start_of(CASES["good"], 0, 1)


class RecordTest(unittest.TestCase):
    def test_a_replay_votes_as_the_marshal_did(self):
        """A note that the recorder misses or misorders makes the replay vote at other times than the balancer."""
        for name, seed in (("scheda+36", 3), ("good-busy-0.7", 2), ("all+20-m30", 1)):
            _, recorders = played(name, seed, before_ms=8000.0)
            for recorder in recorders[:3]:
                wave = recorder.waves[-1]
                found = replay.replay(wave)
                live = [
                    (round(note.time_ms - found.offered_ms, 3), note.text) for note in wave.notes if note.what == "V"
                ]
                again = [(round(time_ms, 3), vote) for time_ms, vote in found.voted]
                self.assertEqual([time_ms for time_ms, _ in live], [time_ms for time_ms, _ in again])
                crossed = [note.text for note in wave.notes if note.what == "C"]
                self.assertEqual(crossed, [found.crossed] if found.crossed else [])

    def test_other_error_rates_move_the_crossing(self):
        """A replay that ignores the given error rates crosses at the same time whatever they are."""
        _, recorders = played("scheda+36", 3)
        wave = next(recorder.waves[-1] for recorder in recorders if replay.replay(recorder.waves[-1]).crossed)
        times = [replay.replay(wave, ifc.ErrorRateTargets(rate, 0.05)).crossed_ms for rate in (0.4, 0.05)]
        strict = replay.replay(wave, ifc.ErrorRateTargets(1e-9, 0.05))
        self.assertLessEqual(times[0], times[1])
        self.assertTrue(strict.crossed_ms is None or strict.crossed_ms > times[1])
        self.assertIn("scheda failures", replay.format_verdict(replay.replay(wave)))

    def test_round_trip_and_damage(self):
        """A truncated record or one with a flipped bit must be refused, never decoded as another record."""
        _, recorders = played("all+20", 1, before_ms=4000.0)
        waves = list(recorders[0].waves)
        data = wave_records.encode(waves)
        self.assertEqual(wave_records.decode(data), waves)
        for cut in range(0, len(data), max(1, len(data) // 200)):
            self.assertRaises(wave_records.RecordError, wave_records.decode, data[:cut])
        for position in range(0, len(data), max(1, len(data) // 200)):
            damaged = bytearray(data)
            damaged[position] ^= 0x40
            self.assertRaises(wave_records.RecordError, wave_records.decode, bytes(damaged))

    def test_notes_that_no_rollout_can_have_are_refused(self):
        _, recorders = played("all+20", 1, before_ms=4000.0)
        whole = recorders[0].waves[-1]
        outcome = next(note for note in whole.notes if note.what == "O")
        change = msgspec.structs.replace
        for note in (
            change(outcome, what="Z"),
            change(outcome, entry_indices=(9999,)),
            change(outcome, method=7),
            change(outcome, outcome=99),
            change(outcome, time_ms=math.nan),
            change(outcome, what="N"),
            change(outcome, what="T", entry_indices=()),
        ):
            wave = wave_records.Wave("n", 2, whole.settings, whole.entries, [note])
            self.assertRaises(wave_records.RecordError, wave_records.decode, wave_records.encode([wave]))

    @QUICK
    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_by_a_record_error(self, data):
        body = wave_records.MAGIC + zlib.crc32(data).to_bytes(4, "big") + data
        for content in (data, body):
            try:
                self.assertEqual(wave_records.decode(content), [])
            except wave_records.RecordError:
                continue

    def test_a_full_record_counts_what_it_omits(self):
        """A long rollout must not grow the recorder without bound, nor lose notes without counting them."""
        wave = Wave(CASES["good"], 1)
        recorder = wave_recorder.Recorder(wave.starts[0], max_notes=5)
        wave.watch = lambda ordinal, now, message: ordinal or recorder.record(now, message)
        wave.run()
        self.assertEqual(len(recorder.waves), 1)
        self.assertGreater(recorder.waves[0].omitted_notes, 0)
        self.assertLessEqual(len(recorder.lead_notes), wave_recorder.MAX_LEAD_NOTES)
        self.assertLess(len(recorder.rpcs), 200)

    def test_unused_entries_are_dropped_and_the_others_renumbered(self):
        """Entries of weeks of machines are dropped at a new build; its notes must still refer to the right nodes."""
        recorder = wave_recorder.Recorder(SETTINGS, max_notes=100)
        ready = ifc.NodeState.READY
        news = ifc.RolloutStatus(False, ifc.Outcome.OK, 0, 0.1, ifc.RolloutPhase.ON_TRIAL, 0.0, 1)
        recorder.record(0.0, news)
        for number in range(5000):
            entry = ifc.NodeEntry(number, ready, 0.0, 1, 0, 0, 0, 1.0)
            recorder.record(float(number), ifc.NodeList(ifc.ListKind.FULL, number, (entry,)))
        recorder.lead_notes.clear()
        recorder.record(6000.0, replace(news, build=2))
        self.assertLess(len(recorder.entries), 10)
        recorder.record(6001.0, ifc.RpcReceived(1, 0, 0, 0, 9e9, None, False, False))
        recorder.record(6002.0, ifc.Pick(1, 4999, 10.0))
        recorder.record(6003.0, ifc.PickEnded(1, 0, 4999, ifc.Outcome.OK, True, 1.0, {}))
        wave = wave_records.decode(wave_records.encode(list(recorder.waves)))[-1]
        self.assertEqual(wave.entries[wave.notes[-1].entry_indices[0]].node, 4999)

    def test_a_failing_disk_is_logged_once_and_the_next_write_succeeds(self):
        logged, written, is_broken = [], [], [True]

        def write(path, data):
            if is_broken[0]:
                raise OSError(28, "No space left on device")
            written.append(data)

        wave = Wave(CASES["all+20"], 1)
        writer = record_writer.RecordWriter(
            wave_recorder.Recorder(wave.starts[0]), Path("w"), lambda kind, text: logged.append(text), write
        )
        wave.watch = lambda ordinal, now, message: ordinal or writer.observe(now, message)
        wave.run()
        writer.save()
        is_broken[0] = False
        writer.save()
        self.assertEqual(["can't be written" in text for text in logged], [True, False])
        self.assertEqual(len(wave_records.decode(written[-1])), 1)
