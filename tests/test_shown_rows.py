"""Keys of `fleet show --json`: one for each field of the tables shown, whatever the row's attributes are called."""

import unittest

from brookreach.cli.operator_session import watched_tables
from brookreach.coordination.protocol.tags import wire_fields

KEYS = {
    "assigned": "build release tries",
    "budgets": "kind most_out least_ready",
    "gangs": "members room work_ms cost_ms load_ms deadline_ms zones builds flexible state since_ms kept_ms done_ms"
    " epoch asked_epoch asked_ms lost_ms order reason submitted_ms latest_ms tries permits fell",
    "halt": "fence by at_ms reason way_back",
    "marshals": "zone build service standing since_ms session",
    "members": "node life fence state epoch old_node old_fence old_life next_node next_life work_ms",
    "nodes": "zone build service room standing since_ms life warm_ms retires_ms session",
    "permits": "what target by urgency asked_ms state fence given_ms ended_ms life reason back late",
    "power-offers": "calls",
    "releases": "build earlier shares caps state stage since_ms wait_ms back_votes on_votes fence reason",
    "rooms": "taken",
    "schedule": "version digest until_ms fence by from_ms reason",
    "sessions": "session kind began_ms",
}


class ShownRowsTest(unittest.TestCase):
    def test_keys_outlive_renamed_attributes(self):
        for table, row_type in watched_tables().items():
            with self.subTest(table=table):
                row = row_type(*range(len(row_type.__struct_fields__)))
                expected = dict(zip(KEYS[table].split(), range(100), strict=False))
                self.assertEqual(expected, wire_fields(row))
        self.assertEqual(set(KEYS), set(watched_tables()))


if __name__ == "__main__":
    unittest.main()
