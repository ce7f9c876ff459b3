"""The soak's client takes for an answer only what the protocol does."""

import unittest

from brookreach.net import pgwire
from brookreach.simulation.balancer.connection import Connection
from brookreach.simulation.balancer.messages import ERROR, REFUSAL, row_answer
from brookreach.simulation.balancer.record import Outcome, Record, Request

from ..mutation_reader import frames

ROW, TOO_MANY = row_answer(b"a by 1", False), b"53300"


def error(severity, state=TOO_MANY):
    return b"".join(pgwire.encode_message(b"E", b"S" + severity + b"\0V" + severity + b"\0C" + state + b"\0\0"))


class ConnectionTest(unittest.TestCase):
    def outcomes(self, said, requests=1):
        """How each request ended after these bytes, and then the connection's end; what was too much."""
        record = Record()
        connection = Connection(None, record)
        made = [Request(f"{number}", True, 1.0, number == 0, number) for number in range(requests)]
        connection.requests.extend(made)
        for tag, body in frames(said):
            connection._on_message(tag, body)
        connection.end()
        return [one.outcome for one in made], len(record.surplus_messages)

    def test_an_answer_is_whole_with_ready(self):
        for answer, outcome in ((ROW, Outcome.SERVED), (ERROR, Outcome.FAILED), (REFUSAL, Outcome.REFUSED)):
            cut = answer.removesuffix(pgwire.READY_FOR_QUERY)
            self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + answer), ([outcome], 0))
            self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + cut), ([Outcome.CLOSED], 0))

    def test_a_fatal_error_is_whole_without_it(self):
        fatal = error(b"FATAL")
        for said in (fatal, pgwire.STARTUP_RESPONSE + fatal, pgwire.STARTUP_RESPONSE + fatal + pgwire.READY_FOR_QUERY):
            self.assertEqual(self.outcomes(said), ([Outcome.REFUSED], 0))
        self.assertEqual(self.outcomes(error(b"ERROR")), ([Outcome.CLOSED], 0))

    def test_in_place_of_the_welcome_it_answers_all_behind_the_startup_else_one(self):
        fatal = error(b"FATAL")
        self.assertEqual(self.outcomes(fatal, 2), ([Outcome.REFUSED] * 2, 0))
        self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + fatal, 2), ([Outcome.REFUSED, Outcome.CLOSED], 0))

    def test_what_nothing_asked_for(self):
        self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + ROW + ROW), ([Outcome.SERVED], 1))
        self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + ROW + ERROR), ([Outcome.SERVED], 1))
        self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + ROW + pgwire.READY_FOR_QUERY), ([Outcome.SERVED], 1))
        self.assertEqual(self.outcomes(pgwire.STARTUP_RESPONSE + ROW + error(b"FATAL")), ([Outcome.SERVED], 0))


if __name__ == "__main__":
    unittest.main()
