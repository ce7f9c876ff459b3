"""A statement is sent on in its client's words, except for `d`, and what is read in it is from its own comment."""

import copy
import re
import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.net import pgwire
from brookreach.net.statement import InvalidStatementError, parse_statement

from .helpers import SETTINGS, SimulatedDeployment

COMMENT = 512  # bytes at the end of the text, within which the comment stands
NAMES = ("berth.assign_pilot-and-tug", "TIDE-table", "9.0", "a" * 64, "look", "Look", "d", "c.d-5_x")

FIELDS = (b"id=0b", b" c=look", b"d=5", b" d= 6 ", b"d=7 ", b"d =8", b"xd=1", b"d", b"", b" ", b"k=1", b"c=d=9", b"\0")


def read(text):
    return parse_statement(memoryview(text), COMMENT)


def split(passed_on):
    """The text of a query message."""
    message = b"".join(bytes(part) for part in passed_on)
    assert message[:1] == b"Q" and int.from_bytes(message[1:5], "big") == len(message) - 1
    assert message[-1:] == b"\0"
    return message[5:-1]


def field(name, value):
    return st.tuples(
        st.sampled_from([b"", b" ", b"\t", b"\r\n"]),
        st.just(name + b"="),
        st.just(value),
        st.sampled_from([b"", b" ", b"\n"]),
    ).map(b"".join)


@st.composite
def worded(draw):
    """A statement as a client may word it, split at its d, and its values."""
    said = {
        b"id": draw(st.from_regex(rb"[0-9a-f]{1,16}", fullmatch=True)),
        b"c": draw(st.sampled_from(NAMES)).encode(),
        b"d": draw(st.sampled_from([b"1", b"480", b"480.5"])),
    }
    for name, values in (
        (b"k", [b"7f", b"d", b"=d=5"]),
        (b"r", [b"1", b"0"]),
        (b"h", [b"2500"]),
        (b"xd", [b"5"]),
        (b"D", [b"7"]),
        (b"dd", [b"d=9"]),
        (b"note d", [b"d=1"]),
    ):
        if draw(st.booleans()):
            said[name] = draw(st.sampled_from(values))
    fields = [(name, draw(field(name, value))) for name, value in draw(st.permutations(list(said.items())))]
    order = [name for name, _ in fields]
    nth = order.index(b"d")
    quoted = draw(
        st.binary(max_size=40).map(lambda value: value.replace(b"\0", b"").replace(b"'", b"''"))
        | st.sampled_from([b"/* id=0b,c=other,d=9 */", b"d=5,c=x", b"*/", b"/*", b"''", b"/* d=1", b"\xff"])
    )
    wait = fields[nth][1]
    start = wait.index(b"d=") + 2
    before = (
        draw(st.sampled_from([b"SELECT data FROM facts WHERE code = '", b" insert INTO facts VALUES ('", b"Select '"]))
        + quoted
        + b"' /*"
        + b"".join(one + b"," for _, one in fields[:nth])
        + wait[:start]
    )
    after = (
        wait[start + len(said[b"d"]) :]
        + b"".join(b"," + one for _, one in fields[nth + 1 :])
        + b"*/"
        + draw(st.sampled_from([b"", b" ", b";", b" ; \n"]))
    )
    return before, said, after


class WhoseBytesTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, database=None, derandomize=True)
    @given(worded(), st.integers(1, 10**6))
    def test_all_goes_on_but_for_d(self, worded, wait):
        before, said, after = worded
        one = read(before + said[b"d"] + after)
        self.assertEqual((one.name, one.method, one.wait_ms), (said[b"id"], said[b"c"], float(said[b"d"])))
        self.assertEqual(one.key, int.from_bytes(said.get(b"k", b""), "big"))
        self.assertEqual((one.is_retry, one.is_write), (said.get(b"r") == b"1", b"insert" in before[:7].lower()))
        self.assertEqual(split(one.encode_query(float(wait))), before + b"%d" % wait + after)

    @settings(max_examples=200, deadline=None, database=None, derandomize=True)
    @given(
        st.binary(max_size=200)
        | st.lists(st.sampled_from(FIELDS), max_size=6).map(
            lambda fields: b"SELECT '\xff' /*" + b",".join([b"id=0a", *fields]) + b"*/;"
        )
    )
    def test_any_bytes_are_taken_whole_or_refused_with_a_word(self, text):
        try:
            one = read(text)
        except InvalidStatementError as error:
            self.assertTrue(str(error).isprintable() and str(error))
            self.assertNotIn(error.sqlstate, (pgwire.PUSH_BACK_SQLSTATE, pgwire.NOT_READY_SQLSTATE))
            return
        written = split(one.encode_query(77.0))
        at = len(one.before)
        self.assertEqual(written, text[:at] + b"77" + text[len(text) - len(one.after) :])
        self.assertEqual(float(text[at : len(text) - len(one.after)]), one.wait_ms)
        # A node reads there what we wrote, and it is there once.
        again = read(written)
        self.assertEqual((again.name, again.method, again.wait_ms, again.key), (one.name, one.method, 77.0, one.key))

    def test_a_space_before_the_wait_is_the_clients_own(self):
        one = read(b"SELECT 1 /* id=0a,c=look,d= 480 ,k=1 */")
        self.assertEqual(split(one.encode_query(77.0)), b"SELECT 1 /* id=0a,c=look,d= 77 ,k=1 */")

    def test_what_could_be_read_in_two_ways_is_refused_and_named(self):
        for text, state, says in (
            (b"SELECT 1 /* id=0a,c=look,d=100,d=900 */", b"22023", "'d' twice in the comment"),
            (b"SELECT 1 /* c=look,id=0a,d=1, c=book */", b"22023", "'c' twice in the comment"),
            (b"SELECT 1 /* id=0a,id=0a,c=look,d=1 */", b"22023", "'id' twice in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=1,k=1,k=2 */", b"22023", "'k' twice in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=1,\xff=1,\xff=2 */", b"22023", "'\ufffd' twice in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=5,d */", b"22023", "'d' twice in the comment"),
            (b"SELECT 1 /* id=0a,c=look,xd=5 */", b"22023", "no readable d in the comment"),
            (b"SELECT 1 /* id=0a,c=look,D=5 */", b"22023", "no readable d in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=5 6 */", b"22023", "no readable d in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=1_0 */", b"22023", "no readable d in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d */", b"22023", "no readable d in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=soon */", b"22023", "no readable h in the comment"),
            (b"SELECT 1 /* id=0a,c=look,d=inf */", b"22023", "d out of range"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=5e-321 */", b"22023", "h out of range"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=0.0009 */", b"22023", "h out of range"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=-1 */", b"22023", "h out of range"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=1e13 */", b"22023", "h out of range"),
            (b"SELECT 1 /* id=0a,c=look,d=5,h=nan */", b"22023", "h out of range"),
            (b"SELECT 'a\0b' /* id=0a,c=look,d=5 */", b"22021", "a NUL in the statement"),
            (b"SELECT 1 /* id=0a,c=look,d=5 */\0", b"42601", "no comment with names and values"),
            (b"SELECT '/* id=0a,c=look,d=5 */'", b"42601", "no comment with names and values"),
            (b"SELECT 1 /* /* id=0a,c=look,d=5 */ */", b"42601", "no comment with names and values"),
            (b"SELECT 1 /* id=0a,c=look,d=5 */ -- more", b"42601", "no comment with names and values"),
            (b"SELECT 1 /* id=0a,c=look,d=5," + b"x" * 600 + b" */", b"42601", "no comment with names and values"),
            (b"SELECTED /* id=0a,c=look,d=5 */", b"42601", "neither SELECT nor INSERT"),
        ):
            with self.subTest(text[:60]), self.assertRaises(InvalidStatementError) as caught:
                read(text)
            self.assertEqual((caught.exception.sqlstate, str(caught.exception)), (state, says))


class OnSocketsTest(unittest.TestCase):
    """The same over real connections: what the node receives, and what the client is answered."""

    def played(self, texts):
        """The answers to these texts, each from its own client, and what the node received."""
        told = copy.deepcopy(SETTINGS)
        for name in NAMES:
            if name != "look":
                told["classes"].append(dict(told["classes"][0], name=name))
        answers, heard = [], []

        async def story():
            deployment = SimulatedDeployment(told)
            with anyio.fail_after(30):
                async with deployment.open():
                    for text in texts:
                        client = await deployment.client()
                        await deployment.answer(client)
                        await client[0].send(b"".join(pgwire.query_message(text)))
                        answers.append(await deployment.answer(client))
                        await client[0].aclose()
                    heard.extend(deployment.node.heard)

        anyio.run(story)
        return answers, [re.sub(r"(?<=[, ]d=)\d\d+", "T", text) for text in heard]

    def test_each_node_query_is_its_clients(self):
        big = b"\\x" + b"9f" * 32768
        texts = [
            b"INSERT INTO facts VALUES ('row', '" + big + b"') /* id=01,c=look,d=2000 */",
            b"SELECT 'row', '/* id=9,c=book,d=1 */' /* c=TIDE-table,d=900,xd=5,id=02,k=7f */ ;",
            *(b"SELECT 'row' /* id=1%d,c=%s,d=900 */" % (at, name.encode()) for at, name in enumerate(NAMES)),
        ]
        answers, heard = self.played(texts)
        self.assertEqual(answers, ["row 9f03, complete"] * len(texts))
        self.assertEqual(heard, [re.sub(r"(?<=[, ]d=)(2000|900)", "T", text.decode()) for text in texts])

    def test_what_cant_be_taken_is_no_pushback_and_reaches_no_node(self):
        answers, heard = self.played(
            [
                b"SELECT 'row' /* id=01,c=look,d=1,d=900 */",
                b"SELECT 'row' /* id=01,c=LOOK,d=900 */",
                b"SELECT 'a\0' /* id=01,c=look,d=900 */",
                b"SELECT 'row' /* id=01,c=\xff,d=900 */",
                b"SELECT 'row' /* id=01,c=,d=900 */",
                b"UPDATE x /* id=01,c=look,d=900 */",
            ]
        )
        self.assertEqual(
            answers, ["error 22023", "error 22023", "error 22021", "error 22023", "error 22023", "error 42601"]
        )
        self.assertEqual(heard, [])


if __name__ == "__main__":
    unittest.main()
