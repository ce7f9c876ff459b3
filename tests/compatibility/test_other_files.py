"""Records of waves, a control service's state and configuration files of older versions are read as they were."""

import unittest

from . import other_files, stored
from . import text_under_test as text

FOLDER = stored.DATA / stored.FIRST


class OtherFiles(unittest.TestCase):
    maxDiff = 2000

    def setUp(self):
        self.told = stored.read_json(stored.FIRST, other_files.VALUES)

    def test_each_file_has_the_values_that_it_had(self):
        present = other_files.values(FOLDER)
        self.assertEqual(sorted(present), sorted(self.told))
        for name, values in self.told.items():
            self.assertTrue(values, name)
            self.assertEqual(present[name], values, name)

    def test_records_of_waves_are_written_back_with_the_same_bytes(self):
        octets = (FOLDER / other_files.WAVES).read_bytes()
        waves = text.wave_records.decode(octets)
        self.assertEqual({note.what for wave in waves for note in wave.notes} - set("LNRTODVC"), set())
        self.assertGreater(len(waves[0].notes), 5)
        self.assertEqual(text.wave_records.encode(waves), octets)

    def test_all_shipped_configuration_files_are_among_them(self):
        shipped = {path.name for path in other_files.configuration(other_files.DEPLOY)}
        self.assertTrue(shipped)
        self.assertEqual(shipped, set(self.told[other_files.CONFIGURATION]))

    def test_the_files_that_are_shipped_now_are_read(self):
        for path in other_files.configuration(other_files.DEPLOY):
            self.assertTrue(text.configuration_files.read_file(path)[1], path.name)


if __name__ == "__main__":
    unittest.main()
