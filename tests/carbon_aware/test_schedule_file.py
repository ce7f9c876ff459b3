"""Tests of operators' schedule files: valid files, rejected files and their error messages."""

from __future__ import annotations

import tempfile
import unittest
from datetime import datetime
from pathlib import Path

import msgspec

from brookreach.carbon_aware import commands, schedule_file
from brookreach.carbon_aware.schedule import schedule_digest
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES
from brookreach.coordination.state_machine.sessions import ENTRY_OVERHEAD_BYTES
from brookreach.files import InvalidFileError

HOUR_MS = 3_600_000
HEAD = "zone,from,to,gCO2e/kWh"
TOML = '[schedule]\nversion = 3\nunit = "{unit}"\ncsv = ["p.csv"]\n[[zone]]\nname = "1"\ncalls = 5\n{more}'
GOOD = [
    "1,2026-10-25T00:00:00+02:00,2026-10-25T02:00:00+02:00,210",
    "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,200.5",
    "1,2026-10-25T02:00:00+01:00,2026-10-26T00:00:00+01:00,190",
]

# The index of the row of GOOD that is replaced (-1: the header), its replacement, and the location and the text of
# the expected error.
BAD = [
    (0, "1,2026-10-25T00:00:00,2026-10-25T02:00:00+02:00,210", "p.csv:2", "no offset from UTC"),
    (0, "1,2026-10-25,2026-10-25T02:00:00+02:00,210", "p.csv:2", "no offset from UTC"),
    (1, "1,tomorrow,2026-10-25T02:00:00+01:00,200", "p.csv:3", "'tomorrow' is no time; one like 2026-"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,-4", "p.csv:3", "-4; 0 to 3000 (gCO2e/kWh) are allowed"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,3001", "p.csv:3", "3001; 0 to 3000"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,nan", "p.csv:3", "'nan' is no figure"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,", "p.csv:3", "'' is no figure"),
    (1, "1,2026-10-25T02:00:00+02:00,200", "p.csv:3", "3 fields; 4 are allowed"),
    (1, "7,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,200", "p.csv:3", "zone '7' is not known; 1 are allowed"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+02:00,200", "p.csv:3", "over 0 and up to 31 days"),
    (1, "1,2026-10-25T02:00:00+02:00,2026-12-25T02:00:00+02:00,200", "p.csv:3", "up to 31 days"),
    (
        1,
        "1,2026-10-25T02:00:00+01:00,2026-10-26T00:00:00+01:00,200",
        "p.csv:3",
        "gap in zone '1': 2026-10-25T00:00:00Z to",
    ),
    (2, "1,2026-10-25T02:00:00+02:00,2026-10-26T00:00:00+01:00,190", "p.csv:4", "overlap in zone '1'"),
    (2, GOOD[1], "p.csv:4", "the same row stands twice"),
    (2, "1,2026-10-24T22:00:00+02:00,2026-10-25T00:00:00+02:00,190", "p.csv:4", "out of order in zone '1'"),
    (1, "1,1969-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,200", "p.csv:3", "1970 to 2099"),
    (1, "1,2026-10-25T02:00:00.0005+02:00,2026-10-25T02:00:00+01:00,200", "p.csv:3", "whole ms"),
    (1, '1,"2026-10-25T02:00:00+02:00,2026-10-25T02:00:00+01:00,200', "p.csv:", "no CSV"),
    (-1, "zone,from,to,grams", "p.csv:1", "'zone,from,to,grams'; the header 'zone,from,to,gCO2e/kWh' is allowed"),
]


class ScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = Path(temporary_folder.name)

    def read(
        self, rows: list[str], unit: str = "gCO2e/kWh", more: str = "", head: str = HEAD
    ) -> schedule_file.Schedule:
        (self.folder / "p.csv").write_text("\n".join([head, *rows]) + "\n")
        (self.folder / "p.toml").write_text(TOML.format(unit=unit, more=more))
        return schedule_file.read_schedule(self.folder / "p.toml")

    def errors(self, *arguments: object, **options: str) -> str:
        with self.assertRaises(InvalidFileError) as raised:
            self.read(*arguments, **options)  # type: ignore[arg-type]
        return str(raised.exception)

    def test_long_day(self) -> None:
        schedule = self.read(GOOD)
        self.assertEqual(
            [25 * HOUR_MS, HOUR_MS],
            [schedule.intervals[-1][2] - schedule.intervals[0][1], schedule.intervals[1][2] - schedule.intervals[1][1]],
        )
        self.assertEqual([210, 201, 190], [interval[3] for interval in schedule.intervals])  # halves are rounded up
        self.assertEqual(("1", 5), schedule.zones[0])

    def test_short_day(self) -> None:
        schedule = self.read(
            [
                "1,2026-03-29T00:00:00+01:00,2026-03-29T03:00:00+02:00,210",
                "1,2026-03-29T03:00:00+02:00,2026-03-30T00:00:00+02:00,190",
            ]
        )
        self.assertEqual(23 * HOUR_MS, schedule.intervals[-1][2] - schedule.intervals[0][1])

    def test_what_is_refused_names_its_line(self) -> None:
        for replaced_index, row, location, text in BAD:
            with self.subTest(row=row):
                rows = [row if index == replaced_index else good for index, good in enumerate(GOOD)]
                errors = self.errors(rows, head=row if replaced_index < 0 else HEAD)
                self.assertIn(location, errors)
                self.assertIn(text, errors)

    def test_unit_zones_keys(self) -> None:
        self.assertIn("schedule.unit: 'lb/MWh'; 'gCO2e/kWh' is allowed", self.errors(GOOD, unit="lb/MWh"))
        self.assertIn("zone[1].name: '1' stands twice", self.errors(GOOD, more='[[zone]]\nname = "1"\n'))
        self.assertIn("zone '2' has no rows", self.errors(GOOD, more='[[zone]]\nname = "2"\n'))
        self.assertIn("colour", self.errors(GOOD, more="colour = 1\n"))
        self.assertIn("no rows", self.errors([]))

    def test_zones_cover_the_same_time(self) -> None:
        errors = self.errors([*GOOD, GOOD[0].replace("1,", "2,", 1)], more='[[zone]]\nname = "2"\n')
        self.assertIn("zone '2' covers 2026-10-24T22:00:00Z to 2026-10-25T00:00:00Z; all have to cover", errors)

    def test_rows_in_toml(self) -> None:
        row = '[[row]]\nzone = "2"\nfrom = 2026-10-25T00:00:00+02:00\nto = {to}\ngrams = 300.4\n'
        more = '[[zone]]\nname = "2"\n' + row
        self.assertEqual(300, self.read(GOOD, more=more.format(to="2026-10-26T00:00:00+01:00")).intervals[-1][3])
        self.assertIn(
            "row[0]: 2026-10-26 00:00:00 has no offset", self.errors(GOOD, more=more.format(to="2026-10-26T00:00:00"))
        )
        self.assertIn("row[0]: 7 is no time", self.errors(GOOD, more=more.format(to="7")))

    def test_files_that_cannot_be_read(self) -> None:
        self.read(GOOD)
        (self.folder / "p.csv").write_bytes(b"\xff\xfe1")
        with self.assertRaisesRegex(InvalidFileError, "byte 0 is no UTF-8"):
            schedule_file.read_schedule(self.folder / "p.toml")
        (self.folder / "p.csv").unlink()
        with self.assertRaisesRegex(InvalidFileError, "can't be read"):
            schedule_file.read_schedule(self.folder / "p.toml")

    def test_many_errors_are_cut(self) -> None:
        errors = self.errors([f"1,{index},x,1" for index in range(200)])
        self.assertEqual((51, True), (len(errors.splitlines()), errors.endswith("and more")))

    def test_example(self) -> None:
        schedule = schedule_file.read_schedule(Path(__file__).parent.parent.parent / "deploy" / "power.toml")
        self.assertEqual(
            (3, 27, 49 * HOUR_MS),
            (len(schedule.zones), len(schedule.intervals), schedule.intervals[8][2] - schedule.intervals[0][1]),
        )

    def test_parts_fit_records(self) -> None:
        zones = tuple((f"{index:064d}", 1_000_000_000) for index in range(64))
        begin_ms = int(datetime(2099, 1, 1).timestamp()) * 1000
        intervals = [
            (zone, begin_ms + hour * HOUR_MS, begin_ms + (hour + 1) * HOUR_MS, 3000)
            for zone, _ in zones
            for hour in range(150)
        ]
        upload = list(commands.upload_commands(9_999_999_999, zones, intervals))
        largest_bytes = max(len(msgspec.msgpack.encode(command)) for command in upload)
        self.assertLess(largest_bytes, MAX_COMMAND_BYTES - ENTRY_OVERHEAD_BYTES)
        self.assertEqual(
            intervals,
            [
                interval
                for command in upload
                if isinstance(command, commands.UploadIntervals)
                for interval in command.intervals
            ],
        )
        for command in upload:
            encoded = msgspec.msgpack.encode(command)
            self.assertEqual(command, msgspec.msgpack.decode(encoded, type=commands.COMMANDS))
        self.assertEqual(schedule_digest(1, zones, intervals), schedule_digest(1, zones[::-1], intervals[::-1]))
        self.assertNotEqual(schedule_digest(1, zones, intervals), schedule_digest(2, zones, intervals))


if __name__ == "__main__":
    unittest.main()
