"""Conversations of nodes with one message changed, over real sockets: what clients are answered, and what runs."""

import itertools
import json
import random
import struct
import unittest
import unittest.mock

import anyio

from brookreach.net import node_connection, pgwire

from .helpers import SETTINGS, SimulatedDeployment, until
from .mutants import RESET, Mutant, message_mutants, sampled
from .mutation_reader import FAILED, ROW, asked, code, failure, frame, frames, row, units, value
from .mutation_rig import Peer, ScriptedNode

BATCH = 60  # conversations at a time, each with its own node and client
LONG_CONNECT_TIMEOUT = SETTINGS | {
    "allowed": SETTINGS["allowed"] | {"dialTimeoutUs": 500_000}
}  # many connections at once in one process
WORDS = {b"S": b"SELECT 1\0", b"I": b"INSERT 0 1\0"}
WELCOME = [frame(b"R", bytes(4)), frame(b"S", b"server_encoding\0UTF8\0"), frame(b"K", bytes(8)), frame(b"Z", b"I")]


def text_of(number, method):
    kind = b"INSERT INTO facts VALUES ('x') RETURNING data" if method == "book" else b"SELECT data FROM facts"
    return b"%b /* id=%04x,c=%b,d=1200 */" % (kind, number, method.encode())


def answers(text):
    """Return a node's valid answers by name."""
    first, then, last, ready = row(text)
    return {
        "row": [first, then, last, ready],
        "error": failure(b"XX000"),
        "full": failure(b"53300"),
        "noted": [frame(b"N", b"SNOTICE\0Mx\0\0"), first, then, frame(b"S", b"x\0y\0"), last, ready],
    }


def read_by_protocol(made):
    """Read a node's bytes by the protocol; return the value of a complete row or None, and its tag, an SQLSTATE or None."""
    found = [one for one in frames(made) if one is None or one[0] not in b"NS"]
    if found and found[0] and found[0][0] == b"E":
        return None, code(found[0][1])
    if len(found) < 3 or None in found[:3] or [tag for tag, _ in found[:3]] != [b"T", b"D", b"C"]:
        return None, None
    (_, head), (_, held), _ = found[:3]
    name, nul, kind = head[2:].partition(b"\0")
    is_valid = head[:2] == held[:2] == b"\0\1" and nul and len(kind) == 18 and len(held) >= 6
    if not is_valid or struct.unpack("!i", held[2:6])[0] != len(held) - 6:
        return None, None
    return held[6:], found[2][1]


class ManyNodes(SimulatedDeployment):
    """A deployment of 90 nodes that share one stand-in."""

    def __init__(self, script):
        super().__init__(LONG_CONNECT_TIMEOUT)
        self.node = ScriptedNode(self, script)

    def members(self):
        one = json.loads(super().members())["members"][0]
        return json.dumps(
            {"revision": self.revision, "complete": True, "members": [one | {"id": f"s-{at}"} for at in range(90)]}
        )


class Conversation:
    """One conversation: a client sends a query whose first answer by the node is changed, then another query."""

    def __init__(self, method, mutant, number):
        self.violation, self.tries = None, 0
        self.text, self.next = text_of(number, method), text_of(number + 0x8000, "look")
        # Each query has a value of its own: the same change is made in the bytes for this one.
        data, ends = mutant.data.replace(value(text_of(0, method)), value(self.text)), [0]
        for piece in mutant.pieces if number % 3 else (data,):  # every third in one write
            ends.append(ends[-1] + len(piece))
        pieces = tuple(data[begin:end] for begin, end in itertools.pairwise(ends))
        self.mutant = Mutant(f"{mutant.name} ({method})", pieces, mutant.ending)

    async def play(self, deployment):
        peer = await Peer.met(deployment)
        await peer.write(pgwire.startup_message("portal", "crm") + asked(self.text))
        await peer.settled()
        begun = len(peer.came)
        while not self.violation and (b"53300" in peer.came[begun:] or begun == len(peer.came)):
            begun = len(peer.came)  # pushed back, since many nodes fail at once: it retries
            await peer.write(asked(self.next))
            await peer.settled()
            self.tries += 1
            self.violation = "no answer" if len(peer.came) == begun else None
        self.violation = self.violation or self.find_violation(peer, deployment.node)
        await peer.end()

    def find_violation(self, peer, node):
        """Return which rule the conversation broke, None if none."""
        made = [read_by_protocol(one) for one in node.made.get(value(self.text), [])]
        words = WORDS[self.text[:1]]
        rows = [held for held, last in made if held is not None and last == words]
        said = units(peer.came, True)
        if peer.ended or len(said) != 1 + self.tries:
            return f"{said} to {1 + self.tries} queries"
        (kind, held), after = said[0], said[-1]
        if after != (ROW, value(self.next)):
            return f"the next query's answer is {after}"
        if kind not in (ROW, FAILED) or kind == ROW and held not in rows:
            return f"{kind} {held!r} where the node made {made}"
        # After an invalid startup response, or ahead of a reset, the answer need not be read any more.
        if rows and kind == FAILED and self.mutant.ending != RESET and "welcome" not in self.mutant.name:
            return f"the node made {rows} and the client was told {kind}"
        not_run = [held is None and last == b"53300" for held, last in made]
        if b"INSERT" in self.text and not all(not_run[:-1]):
            return f"an INSERT ran again after {made}"
        return None


async def find_leftovers(deployment):
    """Wait until all has ended; return what is left behind in the balancer's tables, as texts."""
    driver, nodes, home = deployment.runtime.driver, deployment.runtime.driver.nodes, deployment.runtime.clients
    await until(
        lambda: (
            not nodes.picks_in_flight
            and not nodes.awaiting_ready
            and nodes.connection_count == sum(len(endpoint.idle_connections) for endpoint in nodes.endpoints.values())
        )
    )
    left = (
        driver.open_rpcs,
        driver.open_rpcs.client_ids,
        home.connected,
        nodes.limits.large_answer_bytes - nodes.buffer_pool.free,
    )
    return [f"left behind: {left}"] if any(left) else []


def run_conversations(mutants, welcomes=False):
    """Return which of the mutants broke a rule, and how; `welcomes` if they change the startup instead of answers."""

    async def batch(begin):
        cases = [Conversation(*one, begin + at) for at, one in enumerate(mutants[begin : begin + BATCH])]
        changed = {value(case.text): case.mutant for case in cases}

        def script(text):
            return row(text) if welcomes or value(text) in deployment.node.made else changed.get(value(text), row(text))

        deployment = ManyNodes(script)
        if welcomes:
            deployment.node.welcome = lambda link: cases[link - 1].mutant if link <= len(cases) else WELCOME
        with anyio.fail_after(30):
            async with deployment.open():
                async with anyio.create_task_group() as tasks:
                    for case in cases:
                        tasks.start_soon(case.play, deployment)
                left = await find_leftovers(deployment)
        return [f"{case.mutant.name}: {case.violation}" for case in cases if case.violation] + left

    return [wrong for begin in range(0, len(mutants), BATCH) for wrong in anyio.run(batch, begin)]


def mutants(name, most, seed):
    """Return `(method, mutant)` for the messages of one valid conversation, for SELECT and INSERT by turns."""
    found = []
    for turn, method in enumerate(("look", "book")):
        messages = WELCOME if name == "welcome" else answers(text_of(0, method))[name]
        changed = sampled(message_mutants(messages, [True] * len(messages), seed), most, seed)
        found += [(method, one._replace(name=f"{name}, {one.name}")) for one in changed[turn::2]]
    return found


class NodesTest(unittest.TestCase):
    def test_answers(self):
        found = [one for at, name in enumerate(("row", "noted", "error", "full")) for one in mutants(name, 180, at)]
        random.Random(1).shuffle(found)  # only full nodes in a row make the balancer push back
        self.assertEqual(run_conversations(found), [])

    def test_welcomes(self):
        self.assertEqual(run_conversations(mutants("welcome", 200, 5), welcomes=True), [])


class PlantedTest(unittest.TestCase):
    """Faults planted into the balancer must be found."""

    def test_a_result_that_takes_anything(self):
        class Anything(node_connection.QueryResult):
            def add_message(self, tag, body):
                self.is_ready = tag == b"Z"
                if tag in (b"C", b"E"):
                    self.sqlstate = b""
                if not self.is_ready:
                    self.messages += [pgwire.MESSAGE_HEADER.pack(tag, 4 + len(body)), bytes(body)]

        with unittest.mock.patch.object(node_connection, "QueryResult", Anything):
            self.assertIn("where the node made", " ".join(run_conversations(mutants("row", 60, 6))))

    def test_a_reset_that_counts_as_never_run(self):
        def on_closed(one, why):
            one._fail(node_connection.Outcome.NO_CONNECT)

        with unittest.mock.patch.object(node_connection.NodeConnection, "on_closed", on_closed):
            self.assertIn("an INSERT ran again", " ".join(run_conversations(mutants("row", 60, 7))))
