"""Any one message to a client changed: rejected by name, harmless, or within what its sender may say."""

import contextlib
import unittest

import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import digest_markers
from tests.coordination.client_harness import FakeLeader, expected_digest, make_client
from tests.coordination.machine_harness import Add, PotRow

DECODER = msgspec.msgpack.Decoder(messages.Body)


def changed(message):
    """The message with one field at a time at its neighbours and extremes, as far as the table of words has it."""
    row = messages.RowChange("pots", "a", msgspec.msgpack.encode(PotRow(7, "m1")))
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if type(value) is int:
            variants = [value - 1, value + 1, 0, 1, 3001, 1 << 52, 1 << 53]
        elif type(value) is bool:
            variants = [not value]
        elif type(value) is tuple:
            variants = [
                (),
                value[1:],
                value[:-1],
                value[::-1],
                (*value, "lids"),
                (*value, row),
                (row, *value),
                ("lids",),
                (*value, messages.RowChange("lids", "a", row.octets)),
                (*value[:1], messages.RowChange("pots", "a", b"\xc1")),
                digest_markers(["lids"], 0),
                digest_markers(["lids", "pots"], 0),
            ]
        elif type(value) is bytes:
            variants = [b"", value[:-1], value + b"\x00", b"\xff" + value[1:]]
        else:
            variants = ["", "k2", "operator", "x" * 64, *messages.RejectionReason.__args__]
        for variant in variants:
            octets = msgspec.msgpack.encode(msgspec.structs.replace(message, **{name: variant}))
            with contextlib.suppress(msgspec.DecodeError):  # the reader's frame refuses it
                yield DECODER.decode(octets)


class ChangedMessagesTest(unittest.TestCase):
    def run_with_message_replaced(self, position=-1, instead=None):
        """Half a minute in which the message at `position` between the two is another; returns all messages."""
        leader, client = FakeLeader(), make_client(seed=3)
        sent, now, seqs = [], 0.0, []

        def carried(message):
            sent.append(message)
            return instead if len(sent) - 1 == position else message

        while now < 30_000.0:
            leader.advance_time(now)
            client.advance_time(now)
            if now < 4500.0 and client.connected:
                seqs.append(client.propose(now, "pots", Add("a", 1)))
            while out := client.take_outgoing():
                for replica, message in out:
                    for answer in leader.handle_message(now, "m1", carried(message)):
                        client.handle_message(now, replica, carried(answer))
            if (fence := client.fencing_token(now)) is not None and not isinstance(
                instead, messages.SessionOpened | messages.KeepAliveReply
            ):
                self.assertEqual(leader.log.machine.holder(fence), "m1", instead)
            now = max(now + 1.0, client.next_wakeup_ms())
        self.assertEqual((client.connected, client.holds_lease(now)), (True, True), instead)
        self.assertEqual(client.cache.digest(), expected_digest(leader.log.machine), instead)
        self.assertLessEqual(leader.log.amounts().get("a", 0), len(seqs), instead)
        ended = [
            event.seq
            for event in client.take_events()
            if isinstance(event, events.ReplyReceived | events.OutcomeUnknown)
        ]
        self.assertEqual(sorted(ended), seqs, instead)  # each has one end
        return sent

    def test_with_any_one_message_changed_the_client_goes_on_and_its_cache_is_right(self):
        sent, runs = self.run_with_message_replaced(), 0
        for position, message in enumerate(sent[:24]):
            for instead in changed(message):
                self.run_with_message_replaced(position, instead)
                runs += 1
        self.assertGreater(runs, 300)
        self.assertEqual(
            {type(message) for message in sent[:24]},
            {
                messages.OpenSession,
                messages.SessionOpened,
                messages.KeepAlive,
                messages.KeepAliveReply,
                messages.WatchRequest,
                messages.WatchSnapshot,
                messages.ProposeRequest,
                messages.ProposeReply,
                messages.WatchUpdate,
            },
        )
