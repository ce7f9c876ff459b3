"""Each order has the effect and the answer that it had: replicas of two versions must not come apart."""

import unittest

from . import answers, disks, stored
from . import text_under_test as text


class Answers(unittest.TestCase):
    maxDiff = 2000

    def test_the_same_answers_and_the_same_state(self):
        told = stored.read_json(stored.FIRST, "answers.json")
        orders = stored.read_json(stored.FIRST, "bytes.json")["orders"]
        machine = text.StateMachine(text.installed())
        machine.restore(disks.read_copy(stored.DATA / stored.FIRST / disks.SNAPSHOT).snapshot)
        present = answers.given(machine, orders)
        self.assertGreater(len(told["answers"]), 60)
        self.assertEqual(len(present), len(told["answers"]))
        for one, golden in zip(present, told["answers"], strict=True):
            self.assertEqual(one, golden)
        self.assertEqual(machine.view.digest(), told["digest"])


if __name__ == "__main__":
    unittest.main()
