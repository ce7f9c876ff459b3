"""Any one message to a client changed: refused by name, harmless, or within what its sender may say."""

import contextlib
import unittest

import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import digest_markers
from tests.coordination.client_harness import Group, client, mirrored
from tests.coordination.machine_harness import Add, PotRow

BODIES = msgspec.msgpack.Decoder(messages.Body)


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
                yield BODIES.decode(octets)


class ChangedTest(unittest.TestCase):
    def run_with(self, nth=-1, instead=None):
        """Half a minute in which the nth message between the two is another; hands back all messages."""
        group, one, said, now, seqs = Group(), client(seed=3), [], 0.0, []

        def carried(message):
            said.append(message)
            return instead if len(said) - 1 == nth else message

        while now < 30_000.0:
            group.passed(now)
            one.advance_time(now)
            if now < 4500.0 and one.connected:
                seqs.append(one.propose(now, "pots", Add("a", 1)))
            while out := one.take_outgoing():
                for keeper, message in out:
                    for answer in group.hear(now, "m1", carried(message)):
                        one.handle_message(now, keeper, carried(answer))
            if (fence := one.fencing_token(now)) is not None and not isinstance(
                instead, messages.SessionOpened | messages.KeepAliveReply
            ):
                self.assertEqual(group.log.machine.holder(fence), "m1", instead)
            now = max(now + 1.0, one.next_wakeup_ms())
        self.assertEqual((one.connected, one.holds_lease(now)), (True, True), instead)
        self.assertEqual(one.cache.digest(), mirrored(group.log.machine), instead)
        self.assertLessEqual(group.log.amounts().get("a", 0), len(seqs), instead)
        ended = [
            event.seq for event in one.take_events() if isinstance(event, events.ReplyReceived | events.OutcomeUnknown)
        ]
        self.assertEqual(sorted(ended), seqs, instead)  # each has one end
        return said

    def test_with_any_one_message_changed_all_goes_on_and_the_mirror_is_right(self):
        said, runs = self.run_with(), 0
        for nth, message in enumerate(said[:24]):
            for instead in changed(message):
                self.run_with(nth, instead)
                runs += 1
        self.assertGreater(runs, 300)
        self.assertEqual(
            {type(one) for one in said[:24]},
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
