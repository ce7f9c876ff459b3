"""What one client sends or is answered never reaches another client, nor a log line about another."""

import unittest

from brookreach.net import pgwire

from .peers_clients import ClientConnectionsTestCase, query, row

NAMES = (b"north", b"south")


def harmless_queries(name):
    """Queries that do nothing, with the client's name in them."""
    return b"".join(
        b"".join(pgwire.query_message(text))
        for text in (
            b"SET application_name TO '%b'" % name,
            b'RESET "%b"' % name,
            b"DISCARD ALL",
            b" ; ",
            b"SELECT 1 /* id=3,c=%b,d=9 */" % name,
        )
    )


def expected_answers(name):
    """The answers to `harmless_queries`."""
    return (
        pgwire.COMMAND_RESPONSE * 3
        + pgwire.EMPTY_QUERY_RESPONSE
        + pgwire.error_response(b"22023", f"unknown class {name!r}")
    )


class WhoseTest(ClientConnectionsTestCase):
    def test_commands_and_errors_byte_by_byte_in_turn(self):
        rig = self.rig()
        peers = [rig.started_peer() for _ in NAMES]
        for pair in zip(*map(harmless_queries, NAMES), strict=True):
            for peer, byte in zip(peers, pair, strict=True):
                peer.send(bytes([byte]))
            rig.turn()
        for peer, name in zip(peers, NAMES, strict=True):
            peer.expect(expected_answers(name))
        rig.run_until_idle()
        for peer in peers:
            peer.read()
            self.assertEqual((peer.received, peer.end), (b"", None))
        lines = [line for line in rig.clients.report.lines if b"north".decode() in line]
        self.assertEqual([line for line in lines if "south" in line], [])

    def test_an_answer_taken_slowly_and_others_meanwhile(self):
        """What the kernel has not taken yet of one client's answer goes to no other. Nodes' buffers: test_endings_nodes."""
        rig = self.rig(large_message_bytes=1 << 20)
        slow, quick = rig.started_peer(window=4096), rig.started_peer()
        slow.shrink_send_buffer()
        slow.send(query(1))
        rig.until(lambda: rig.receiver.received == [1])
        rig.receiver.answer(1, b"s" * (200 << 10))
        self.assertTrue(slow.client.unsent)
        for number in range(2, 12):
            quick.send(query(number))
            rig.until(lambda number=number: number in rig.receiver.answers)
            rig.receiver.answer(number, b"q" * 1000)
            quick.expect(row(b"q" * 1000))
        slow.expect(row(b"s" * (200 << 10)))

    def test_a_connection_with_a_reused_descriptor_begins_empty(self):
        """Half a message of a closed connection is not the start of the next one's, which has the same descriptor."""
        rig = self.rig()
        first = rig.started_peer()
        number = first.client.fd
        first.send(query(1)[:20])
        rig.until(lambda: rig.clients.partial)
        first.reset()
        rig.until(lambda: not rig.clients.connected)
        second = rig.started_peer()
        self.assertEqual(second.client.fd, number)
        second.send(query(2))
        rig.until(lambda: rig.receiver.received == [2])
        rig.receiver.answer(2)
        second.expect(row(b"2"))


if __name__ == "__main__":
    unittest.main()
