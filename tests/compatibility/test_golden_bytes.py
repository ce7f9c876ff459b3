"""Every message, order and row is written with the bytes that older versions wrote, and read from them."""

import unittest

import msgspec

from . import golden_bytes, stored
from . import text_under_test as text


class GoldenBytes(unittest.TestCase):
    maxDiff = 2000

    def setUp(self):
        self.golden = stored.read_json(stored.FIRST, "bytes.json")

    def same_samples(self, present, golden):
        """The same names of the same groups, none of them empty, and the same bytes."""
        self.assertTrue(golden)
        self.assertEqual(sorted(present), sorted(golden))
        for group, by_name in golden.items():
            self.assertTrue(by_name, group)
            self.assertEqual(sorted(present[group]), sorted(by_name), group)
            for name, samples in by_name.items():
                self.assertTrue(samples, name)
                self.assertEqual(present[group][name], samples, f"{group} {name}")

    def read_back(self, types, golden):
        """Each golden sample is read by the type of its name, and written back with the same bytes."""
        encoder = msgspec.msgpack.Encoder(order="deterministic")
        self.assertEqual(sorted(types), sorted(golden))
        for name, samples in golden.items():
            decoder = msgspec.msgpack.Decoder(types[name], strict=True)
            for sample in samples:
                octets = bytes.fromhex(sample)
                self.assertEqual(encoder.encode(decoder.decode(octets)), octets, name)

    def test_messages(self):
        self.same_samples(golden_bytes.messages(), self.golden["messages"])
        for side, types in text.messages().items():
            self.read_back({text.tag(type_): type_ for type_ in types}, self.golden["messages"][side])

    def test_orders(self):
        self.same_samples(golden_bytes.orders(), self.golden["orders"])
        for name, application in text.applications().items():
            self.read_back({text.tag(type_): type_ for type_ in application.orders}, self.golden["orders"][name])

    def test_rows(self):
        self.same_samples(golden_bytes.rows(), self.golden["rows"])
        for name, application in text.applications().items():
            self.read_back(dict(application.tables), self.golden["rows"][name])

    def test_versions_of_the_applications_and_the_stamp_of_a_record(self):
        self.assertEqual(golden_bytes.versions(), self.golden["versions"])
        self.assertTrue(self.golden["stamps"])
        self.assertEqual(golden_bytes.stamps(), self.golden["stamps"])

    def test_frames_are_sealed_alike_and_opened(self):
        frames = self.golden["frames"]
        self.same_samples({"frames": golden_bytes.frames()}, {"frames": frames})
        for name, samples in frames.items():
            for sample in samples:
                frame = text.open_frame(
                    golden_bytes.KEY, golden_bytes.GROUP, golden_bytes.RECEIVER, bytes.fromhex(sample)
                )
                self.assertEqual((frame.source, text.tag(type(frame.body))), (golden_bytes.SENDER, name))

    def test_frame_errors_have_the_names_that_peers_count_by(self):
        self.assertEqual(sorted(text.FRAME_ERROR_NAMES), self.golden["frame_error_names"])
        refused = dict(self.golden["refused_frames"], **{"too long": "00" * (text.MOST_FRAME + 1)})
        self.assertEqual(sorted(refused), self.golden["frame_error_names"])
        for name, frame in refused.items():
            with self.assertRaises(text.FrameError) as raised:
                text.open_frame(
                    golden_bytes.KEY,
                    golden_bytes.GROUP,
                    golden_bytes.RECEIVER,
                    bytes.fromhex(frame),
                    text.CONTROL_MESSAGES,
                )
            self.assertEqual(raised.exception.name, name)


if __name__ == "__main__":
    unittest.main()
