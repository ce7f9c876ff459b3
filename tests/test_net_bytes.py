"""Messages and statements read from bytes, compared as traces."""

from brookreach.net import pgwire, statement
from brookreach.net.message_buffer import BufferPool, MessageBuffer

from .helpers import REPLIES, TraceCase, into


class BytesTest(TraceCase):
    def test_messages_cut_at_every_byte(self):
        data = b"".join([*REPLIES["row with notices"], *REPLIES["error"]])
        whole = None
        for cut in range(len(data) + 1):
            inbound, seen = MessageBuffer(1 << 20, BufferPool(1 << 22), first=16), []
            for part in (data[:cut], data[cut:]):
                into(inbound, part)
                while (message := inbound.next_message()) is not None:
                    seen.append((message[0], bytes(message[1])))
            whole = whole or seen
            self.assertEqual((cut, seen), (cut, whole))
        self.assertEqual(b"".join(tag for tag, _ in whole), b"NTDSCZEZ")

    def test_memory_grows_with_what_has_arrived(self):
        inbound = MessageBuffer(1 << 20, BufferPool(1 << 22))
        into(inbound, b"Q" + (1 << 19).to_bytes(4, "big") + bytes(1000))
        self.assertIsNone(inbound.next_message())
        self.assertLess(len(inbound.data), 4096)
        for length in (0, 3, (1 << 20) + 1, 0xFFFFFFFF):
            inbound = MessageBuffer(1 << 20, BufferPool(1 << 22))
            into(inbound, b"Q" + length.to_bytes(4, "big"))
            with self.assertRaises(pgwire.ProtocolViolationError):
                inbound.next_message()

    def test_statements(self):
        trace = []
        for text in (
            "SELECT 1 /* id=0a,c=look,d=480 */",
            "insert into x /* d=480.5, id=0a, c=book, r=1, h=2500 */ ;",
            "SELECT '/* id=1,c=x,d=1 */' /* id=0b,c=look,d=9,k=7f */",
            "SELECT 1",
            "DELETE /* id=0a,d=1 */",
            "SELECT 1 /* c=look,d=1 */",
            "SELECT 1 /* id=0a,c=look */",
            "SELECT 1 /* id=0a,c=look,d=x */",
            "SELECT 1 /* id=0a,d=nan */",
            "SELECT 1 /* id=0a,d=-5 */",
            "SELECT 1 /* id=a b,d=5 */",
        ):
            try:
                one = statement.parse_statement(memoryview(text.encode()), 512)
                trace.append(
                    f"{text}: {one.method.decode()} wait {one.wait_ms} cost {one.cost_ms} repeat "
                    f"{one.is_retry} write {one.is_write} key {one.key}"
                )
                trace.append("  " + b"".join(one.encode_query(77.9))[5:-1].decode())
            except statement.InvalidStatementError as error:
                trace.append(f"{text}: {error.sqlstate.decode()} {error}")
        self.compare("statements", trace)
