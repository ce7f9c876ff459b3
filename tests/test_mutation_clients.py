"""Complete conversations of clients with one message changed, over real sockets: each gets the answers it must."""

import contextlib
import copy
import re
import unittest
import unittest.mock

import anyio

from brookreach.net import client, message_buffer, pgwire

from .helpers import SETTINGS, SimulatedDeployment, until
from .mutants import FIN, RESET, SILENCE, Mutant, message_mutants, sampled
from .mutation_reader import DONE, EMPTY, FAILED, FATAL, READY, ROW, UNREADY, asked, frames, units, value
from .mutation_rig import Peer, ScriptedNode

MOST = 600
WITH_TOKENS = copy.deepcopy(SETTINGS)
WITH_TOKENS["classes"].append(SETTINGS["classes"][0] | {"name": "pay", "idempotency": "idempotency_key"})


def conversation():
    """Startup, an empty query, SET, SELECT, INSERT with a token, two RPCs at once, Terminate: a message each."""
    rpcs = [
        b"SELECT data FROM facts WHERE code = 'x' /* id=0000a,c=look,d=2900 */",
        b"INSERT INTO facts VALUES ('x') RETURNING data /* id=0000b,c=pay,d=2900 */",
        b"SELECT data FROM facts WHERE code = 'y' /* id=0000c,c=look,d=2900 */",
        b"INSERT INTO facts VALUES ('y') RETURNING data /* id=0000d,c=book,d=2900 */",
    ]
    hello = pgwire.startup_message("portal", "crm")
    return [hello, asked(b""), asked(b"SET a TO 'b'"), *map(asked, rpcs), pgwire.TERMINATE]


def owed(data):
    """By the protocol: how many N come first, whether the connection starts, which answers must come in which order, and
    whether the stream ends.
    """
    refusals = 0
    while True:
        first = next(frames(data, tagged=False), ...)
        if first in (None, ...) or len(first[1]) < 4:
            return refusals, False, [], first is not ...
        code = int.from_bytes(first[1][:4], "big")
        data = data[4 + len(first[1]) :]
        if code in (80877103, 80877104):
            refusals += 1
        elif code >> 16 != 3:
            return refusals, False, [], True
        else:
            break
    found, skipping = [], False
    for one in frames(data):
        if one is None or one[0] == b"X" or one[0] not in b"QSFPBDECH":
            return refusals, True, found, True
        tag, body = one
        if tag == b"Q":
            text = body[:-1] if body[-1:] == b"\0" else body
            does = re.match(rb"\s*(set|reset|discard)\b", text, re.IGNORECASE)
            blank = len(text) <= 64 and not text.strip(b" \t\r\n;\0")
            found.append((EMPTY if blank else DONE if does else ROW, text))
        elif tag in b"SF":
            skipping = skipping and tag != b"S"
            found.append((READY if tag == b"S" else FAILED, b""))
        elif not skipping:
            skipping = True
            found.append((FAILED, b""))
    return refusals, True, found, False


def judged(written, peer, good, over):
    """What is wrong with the answers to these bytes: a text, or None.

    `good` are queries that a node serves; `over` tells whether the client ended the connection itself.
    """
    refusals, started, found, ends = owed(written)
    if peer.came[:refusals] != b"N" * refusals:
        return "encryption not refused"
    said = units(peer.came[refusals:], started)
    rpcs = [text for kind, text in found if kind == ROW]
    sound = {text for text in rpcs if text in good and rpcs.count(text) == 1}
    # A connection is ended for what is not the protocol, and for statements that can't be taken while others wait.
    if peer.ended and not (over or ends or len(sound) < len(rpcs)):
        return f"ended over whole and good messages: {said}"
    if not peer.ended and len(said) != len(found):
        return f"{len(said)} answers for {len(found)}"
    for at, (kind, made) in enumerate(said):
        wanted, text = found[at] if at < len(found) else ("nothing", b"")
        if kind == FATAL and peer.ended and at == len(said) - 1 or kind == UNREADY and wanted == FAILED:
            continue
        if kind == ROW and made != value(text):
            return f"answer {at} is a row that no node made for it"
        if kind != wanted and not (kind == FAILED and wanted == ROW and text not in sound):
            return f"answer {at} is {kind}, owed was {wanted}"
    return None


def wholes(written):
    return [text for kind, text in owed(written)[2] if kind == ROW]


def mutants(most, seed):
    """Mutants, each with those of its queries that a node serves."""
    plain, found = conversation(), []
    tagged = [False] + [True] * (len(plain) - 1)
    for number, one in enumerate(sampled(message_mutants(plain, tagged, seed), most, seed), 1):
        # Each conversation has its own ids, as those of clients have.
        pieces = tuple(piece.replace(b"id=0000", b"id=%04x" % number) for piece in one.pieces)
        good = wholes(b"".join(plain))
        good += [text.replace(b"id=0000", b"id=%04x" % number) for text in good]
        found.append((Mutant(one.name, pieces, one.ending), good))
    return found


class Talks:
    """Changed conversations in one deployment, one after another; `wrong` names what broke a rule."""

    def __init__(self, deployment, at_once):
        self.deployment, self.at_once, self.wrong, self.silent = deployment, at_once, [], []

    async def talk(self, mutant, good):
        """Hold one conversation; return what is wrong with it, or None."""
        peer, written = await Peer.met(self.deployment), b""
        for piece in (mutant.data,) if self.at_once else mutant.pieces:
            await peer.write(piece)
            written += piece
            if not (self.at_once and mutant.ending in (FIN, RESET)):
                await peer.settled()
                wrong = judged(written, peer, good, False)
                if wrong:
                    return wrong
        if mutant.ending == SILENCE and len(self.silent) < 60:
            self.silent.append(peer)
            return None
        await peer.end(mutant.ending == RESET)
        return None if mutant.ending == RESET else judged(written, peer, good, True)

    async def served(self, number):
        """Return whether another client's RPC is answered with its own row meanwhile."""
        text, before = b"SELECT data FROM facts /* id=ff%x,c=look,d=2900 */" % number, len(self.steady.came)
        await self.steady.write(asked(text))
        await self.steady.settled()
        return units(self.steady.came[before:], False) == [(ROW, value(text))]

    async def play(self, found):
        node = self.deployment.node
        self.steady = await Peer.met(self.deployment)
        await self.steady.write(pgwire.startup_message("portal", "crm"))
        await self.steady.settled()
        for number, (mutant, good) in enumerate(found):
            begun = len(node.heard)
            wrong = await self.talk(mutant, good)
            whole, heard = wholes(mutant.data), node.heard[begun:]
            counts = {value(text): [value(one) for one in heard].count(value(text)) for text in heard}
            if any(count > [value(text) for text in whole].count(made) for made, count in counts.items()):
                wrong = wrong or f"a node heard what was not sent, or twice: {heard}"
            if not await self.served(number):
                wrong = wrong or "another client was not served"
            if wrong:
                self.wrong.append(f"{mutant.name}: {wrong}")
        await self.rest()

    async def rest(self):
        """Wait until silent connections with half a message are ended; then only the one other client is in any table."""
        clients, driver = self.deployment.runtime.clients, self.deployment.runtime.driver
        await until(lambda: not (clients.partial or clients.silent))
        for peer in self.silent:
            await peer.end()
        await until(lambda: len(clients.connected) <= 1 and not driver.nodes.picks_in_flight)
        left = (
            driver.open_rpcs,
            driver.open_rpcs.client_ids,
            clients.partial,
            clients.stalled,
            clients.silent,
            clients.resumable,
            driver.nodes.awaiting_ready,
        )
        if any(left) or clients.pool.free != self.deployment.runtime.limits.large_message_bytes:
            self.wrong.append(f"left behind: {left}, {clients.pool.free}")


def played(found, at_once=False):
    """The mutants that broke a rule, and how."""

    async def play():
        deployment = SimulatedDeployment(WITH_TOKENS)
        deployment.node = ScriptedNode(deployment)
        talks = Talks(deployment, at_once)
        with anyio.fail_after(60):
            async with deployment.open():
                await talks.play(found)
        return talks.wrong

    return anyio.run(play)


class ClientsTest(unittest.TestCase):
    def test_one_message_after_another(self):
        self.assertEqual(played(mutants(MOST, 1)), [])

    def test_all_in_one_write(self):
        self.assertEqual(played(mutants(MOST, 2), at_once=True), [])


class PlantedTest(unittest.TestCase):
    """Balancers with a planted fault: the rules must find it."""

    def found(self, **planted):
        with contextlib.ExitStack() as held:
            for name, what in planted.items():
                held.enter_context(unittest.mock.patch.object(client.PendingAnswer, name, what))
            return played(mutants(60, 3))

    def test_two_answers(self):
        def answer(pending, buffers):
            pending.buffers = [*buffers, *buffers]
            pending.client.flush()

        self.assertIn(" answers for ", " ".join(self.found(answer=answer)))

    def test_anothers_row(self):
        last = []

        def answer(pending, buffers):
            if len(buffers) > 1:
                last.append(buffers)
                buffers = last[-2] if len(last) > 1 else buffers
            pending.buffers = buffers
            pending.client.flush()

        self.assertIn("is a row that no node made for it", " ".join(self.found(answer=answer)))

    def test_ends_where_it_owes(self):
        def answer(pending, buffers):
            pending.client.end("a defect")

        self.assertIn("ended over whole and good messages", " ".join(self.found(answer=answer)))

    def test_half_a_query_is_sent(self):
        def message(inbound):
            found = whole(inbound)
            if found is None and len(inbound) > 100:
                inbound.head = inbound.tail
                return b"Q", memoryview(bytes(inbound.data[5 : inbound.tail]) + b" /* id=7,c=look,d=900 */")
            return found

        whole = message_buffer.MessageBuffer.next_message
        with unittest.mock.patch.object(message_buffer.MessageBuffer, "next_message", message):
            self.assertIn("1 answers for 0", " ".join(played(mutants(200, 4))))
