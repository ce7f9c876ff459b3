"""An error that ends its connection is fatal: a client that keeps to the protocol must find the answer complete.

The failure: errors that ended their connection had severity ERROR and no ReadyForQuery after them. By the protocol only
a fatal error is complete without ReadyForQuery, so that a client which waits for it loses its request. One function
wrote every error, and the tests' readers took any last error for a fatal one. Common clients also drop the code of an
error, even a fatal one, on a connection that has had its startup response, unless ReadyForQuery follows; in place of
the startup response one of them breaks by it.
"""

import unittest
from unittest import mock

from brookreach.net import pgwire
from brookreach.net.client import Client

from .mutation_reader import FATAL, frames, units
from .peers_clients import HELLO, ClientConnectionsTestCase, query, row


def severities(body):
    """Both severity fields of an ErrorResponse: in the client's language, and the one that is never translated."""
    return [field[1:] for field in body.split(b"\0") if field[:1] in (b"S", b"V")]


class FatalTest(ClientConnectionsTestCase):
    def is_fatal(self, heard, state, is_ready):
        """Assert that this is one error that ends its connection, with ReadyForQuery after it or without."""
        messages = list(frames(heard))
        self.assertEqual([tag for tag, _ in messages], [b"E", b"Z"] if is_ready else [b"E"])
        self.assertEqual(severities(messages[0][1]), [b"FATAL", b"FATAL"])
        self.assertIn(b"\0C" + state + b"\0", messages[0][1])

    def test_no_room_for_a_new_connection(self):
        rig = self.full_rig()
        for data in (b"", HELLO, HELLO + query(2)):
            end, heard = rig.peer(data).wait_end()
            self.assertEqual(end, "FIN")
            self.is_fatal(heard, b"53300", False)

    def test_a_new_connection_at_a_stop(self):
        rig = self.rig()
        rig.clients.refuse_new_connections()
        end, heard = rig.peer(HELLO + query(1)).wait_end()
        self.assertEqual(end, "FIN")
        self.is_fatal(heard, b"57P03", False)

    def test_a_silent_connection_that_is_evicted_may_have_asked(self):
        """Its query is on its way: the error is the answer to it, and complete for every client."""
        rig = self.rig(max_clients=1)
        silent = rig.started_peer()
        rig.started_peer()
        end, heard = silent.wait_end()
        self.assertEqual(end, "FIN")
        self.is_fatal(heard, b"53300", True)

    def test_a_silent_connection_without_a_startup_message(self):
        rig = self.rig(max_clients=1)
        silent = rig.peer(b"")
        rig.until(lambda: rig.clients.connected)
        rig.started_peer()
        end, heard = silent.wait_end()
        self.assertEqual(end, "FIN")
        self.is_fatal(heard, b"53300", False)

    def test_bytes_that_are_not_the_protocol(self):
        rig = self.rig()
        peer = rig.started_peer()
        peer.send(query(1) + b"?\0\0\0\4")
        rig.until(lambda: rig.receiver.received)
        rig.receiver.answer(1)
        peer.expect(row(b"1"))
        self.is_fatal(peer.wait_end()[1], b"08P01", True)

    def test_a_startup_that_is_not_the_protocol(self):
        rig = self.rig()
        self.is_fatal(rig.peer(b"\0\0\0\x08\0\0\0\0").wait_end()[1], b"08P01", False)

    def test_statements_that_can_not_be_taken(self):
        rig = self.rig(max_invalid_statements=2)
        peer = rig.started_peer()
        bad = b"".join(pgwire.query_message(b"SELECT 1"))
        peer.send(2 * bad)
        _, heard = peer.wait_end()
        refused, _, last = heard.partition(pgwire.READY_FOR_QUERY)
        self.assertEqual(severities(refused[5:]), [b"ERROR", b"ERROR"])
        self.is_fatal(last, b"08P01", True)

    def test_a_defect_in_a_handler(self):
        rig = self.rig()
        peer = rig.started_peer()
        with mock.patch.object(Client, "_handle_query", side_effect=KeyError("planted")):
            peer.send(query(1))
            heard = peer.wait_end()[1]
        rig.faults.clear()
        self.is_fatal(heard, b"XX000", True)


class ReaderTest(unittest.TestCase):
    """The reader that judges all mutations takes an error for a whole answer only where the protocol does."""

    def test_an_error_without_ready_is_no_answer(self):
        def error(severity, untranslated):
            return b"".join(pgwire.encode_message(b"E", b"S%bV%bC53300\0\0" % (severity + b"\0", untranslated + b"\0")))

        for severity, untranslated, kind in (
            (b"ERROR", b"ERROR", "error, not ready"),
            (b"FATAL", b"ERROR", "error, not ready"),
            (b"FATAL", b"FATAL", FATAL),
        ):
            self.assertEqual([one[0] for one in units(error(severity, untranslated), False)], [kind])
        self.assertEqual(units(error(b"ERROR", b"ERROR") + pgwire.READY_FOR_QUERY, False), [("error", b"53300")])


if __name__ == "__main__":
    unittest.main()
