"""Invalid settings are rejected; every error names the file, the key, the value and the allowed values."""

import tempfile
import unittest
from pathlib import Path

from brookreach.files import InvalidFileError
from brookreach.subsetting.settings import Settings, read_settings


class SettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "scope.toml"
            path.write_text(text)
            return read_settings(path)

    def test_missing_keys_have_defaults(self):
        self.assertEqual(self.read(""), Settings())
        self.assertEqual(self.read("[caps]\nnodes = 900\n").caps.nodes, 900)
        self.assertEqual(self.read("[times]\ngone_ms = 0\n").times.removal_hold_ms, 0)

    def test_invalid_settings_are_rejected_with_key_and_value(self):
        for text, expected in (
            ("[cap]\n", "cap: no such part; caps, spread, subset, times are allowed"),
            ("caps = 3\n", "caps: 3; a table is allowed"),
            ("[caps]\nnode = 3\n", "caps.node: no such key; services, nodes, routes, tenants, rpcs are allowed"),
            ("[caps]\nnodes = 0\n", "caps.nodes: 0; a whole number from 1 to 1000000 is allowed"),
            ("[caps]\nnodes = 1.5\n", "caps.nodes: 1.5; a whole number from 1 to 1000000 is allowed"),
            ("[caps]\nnodes = true\n", "caps.nodes: True; a whole number"),
            ('[times]\nbatch_ms = "1 s"\n', "times.batch_ms: '1 s'; a whole number from 1 to 3600000 is allowed"),
            ("[spread]\nmarshals = 3\n", "spread.marshals: 3; a whole number from 4 to"),
            ("[subset]\nmost_holders = 2\n", "subset.most_holders: 2; subset.holders (4) or more is allowed"),
            ("[caps]\nnodes = 100\n", "subset.nodes: 200; at most caps.nodes (100) is allowed"),
            ("[caps\n", "no TOML"),
        ):
            with self.subTest(text), self.assertRaises(InvalidFileError) as caught:
                self.read(text)
            self.assertEqual(len(caught.exception.errors), 1)
            self.assertIn(expected, caught.exception.errors[0])
            self.assertIn("scope.toml: ", caught.exception.errors[0])

    def test_all_errors_are_reported_at_once(self):
        with self.assertRaises(InvalidFileError) as caught:
            self.read("[caps]\nnodes = 0\nroutes = -1\n[times]\nask_ms = 0\n")
        self.assertEqual(len(caught.exception.errors), 3)
