"""The simulator adapter: the examples of the page of the wire, and bad input."""

import io
import os
import subprocess
import sys
import unittest

from brookreach.simulator_adapter import frame_codec

EXAMPLES = {
    "NewRequest": "0a010300c4913a5d504a020000 0000640ad2557c3bf091da05840000000000e02e000001",
    "Ring": "010103004d00000000000000",
    "Dropped": "0d010500192b6f0e1a640000",
    "RolloutState": "0c010300 01 02 0000003e 00 00 f0ba0400 2a00",
    "Disputed": "03010300f211902c00009f2400",
    "Returned": "07010300c4913a5d504a020000 01 0000 44480000 074a1203 00",
    "PeriodSums": "080103002a00d012130004000000b4000000fc53000000",
    "Registry": "0b010300042900000000000000",
}
ACTIONS = {
    "0001 0300 c4913a5d504a0200 074a1203 80380100": ("Assign", (3, 0x24A505D3A91C4, 0x03124A07, 80000)),
    "0401 0300 20a10700 4d00000000000000": ("Schedule", (3, 500000, 77)),
    "0801 0500 1100 74776f2073657276657273206b6e6f776e": ("SayLog", (5, b"two servers known")),
    "0c01 0300 02 01 2a00": ("SaySo", (3, 2, 1, 42)),
    "0701 0300 ffff 0400 68692037": ("BroadcastTo", (3, 0xFFFF, b"hi 7")),
}


UP = "0201 0300 0000000000000000 "


def run(data, hash_seed="0"):
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "brookreach.simulator_adapter"]
    return subprocess.run(command, input=data, capture_output=True, env=env)


class WireTest(unittest.TestCase):
    def test_examples(self):
        for name, text in EXAMPLES.items():
            data = bytes.fromhex(text)
            records = frame_codec.decode(data, 1)
            self.assertEqual([record[0] for record in records], [name])
            layout = next(one for one in frame_codec.EVENTS.values() if one.name == name)
            fields = records[0][1][:-1] if layout.tail else records[0][1]
            self.assertEqual(data[2 : 2 + layout.fixed.size], layout.fixed.pack(*fields))
        for text, record in ACTIONS.items():
            self.assertEqual(frame_codec.encode([record]), bytes.fromhex(text))

    def test_empty_batch_and_clean_end(self):
        done = run(bytes.fromhex("01000000 00000000 08000000 5a5c800000000000"))
        self.assertEqual((done.returncode, done.stdout.hex()), (0, "010000000000000000000000"))

    def test_bad_input_is_one_plain_line(self):
        clock = "5a5c800000000000"
        for body, said in {
            "0100": "input ends inside a batch header",
            "01000000 01000000 0a000000" + clock + "ff03": "unknown code 1023",
            "01000000 01000000 0c000000" + clock + "01010300": "cut short",
            "01000000 00000000 0a000000" + clock + "0000": "left over",
            "01000000 01000000 1a000000" + clock + UP + "02000000 7b7d": "lack or misname",
            "01000000 01000000 19000000" + clock + UP + "01000000 7b": "not JSON",
        }.items():
            done = run(bytes.fromhex(body))
            self.assertNotEqual(done.returncode, 0)
            self.assertIn(said, done.stderr.decode())
            self.assertEqual(len(done.stderr.splitlines()), 1)
        self.assertIsNone(frame_codec.read_frame(io.BytesIO(b"")))
