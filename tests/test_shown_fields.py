"""The field names of rows as `brookreach fleet show --json` prints them, which scripts of operators read."""

from __future__ import annotations

import unittest

import msgspec

from brookreach.cli.operator_session import watched_tables
from brookreach.coordination.protocol.tags import wire_fields


class Example(msgspec.Struct, frozen=True, array_like=True):
    """A row with an attribute that was renamed."""

    capacity: int = msgspec.field(name="room")
    zone: str = ""


class ShownFieldsTest(unittest.TestCase):
    """A renamed attribute of a row keeps its printed name by `msgspec.field(name=...)`."""

    FIELDS = {
        "nodes": "zone build service room standing since_ms life warm_ms retires_ms session",
        "marshals": "zone build service standing since_ms session",
        "permits": "what target by urgency asked_ms state fence given_ms ended_ms life reason back late",
        "halt": "fence by at_ms reason way_back",
        "releases": "build earlier shares caps state stage since_ms wait_ms back_votes on_votes fence reason",
        "budgets": "kind most_out least_ready",
        "assigned": "build release tries",
        "gangs": "members room work_ms cost_ms load_ms deadline_ms zones builds flexible state since_ms kept_ms done_ms epoch asked_epoch asked_ms lost_ms order reason submitted_ms latest_ms tries permits fell",
        "members": "node life fence state epoch old_node old_fence old_life next_node next_life work_ms",
        "rooms": "taken",
        "schedule": "version digest until_ms fence by from_ms reason",
        "power-offers": "calls",
        "sessions": "session kind began_ms",
    }

    def test_each_table_has_the_fields_that_it_had(self):
        shown = {name: " ".join(row.__struct_encode_fields__) for name, row in watched_tables().items()}
        self.assertEqual(shown, self.FIELDS)

    def test_keys_outlive_renamed_attributes(self):
        for table, row_type in watched_tables().items():
            with self.subTest(table=table):
                row = row_type(*range(len(row_type.__struct_fields__)))
                expected = dict(zip(self.FIELDS[table].split(), range(100), strict=False))
                self.assertEqual(expected, wire_fields(row))
        self.assertEqual(set(self.FIELDS), set(watched_tables()))

    def test_values_are_printed_by_the_encoded_name(self):
        self.assertEqual(wire_fields(Example(3, "a")), {"room": 3, "zone": "a"})


if __name__ == "__main__":
    unittest.main()
