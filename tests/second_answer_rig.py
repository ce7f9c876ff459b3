"""What the tests of nodes that answer a query twice share."""

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.simulation.stand_ins import ROW

from .node_messages import FAILED, FULL, row

OK, ERROR, FULL_OUTCOME, TIMEOUT, RESET = (
    ifc.Outcome.OK,
    ifc.Outcome.ERROR,
    ifc.Outcome.FULL,
    ifc.Outcome.TIMEOUT,
    ifc.Outcome.RESET,
)
COPIES = {
    "the same bytes": row(b"1"),
    "another value": row(b"another"),
    "an error": FAILED,
    "a refusal": FULL,
    "a row behind an error": FAILED + row(b"1"),
    "not its end": b"".join(ROW),
    "only its end": pgwire.READY_FOR_QUERY,
    "a fatal error": pgwire.error_response(b"XX000", "no", ready=False),
}

SHUTDOWN_ERROR = pgwire.fatal_response(b"57P01", "terminating connection", ready=False)


def answered_value(result):
    """Return the value that a pick was answered with, None if it did not end with OK."""
    if result.outcome != OK:
        return None
    data = b"".join(bytes(part) for part in result.answer)
    return data[data.index(b"D") + 11 : data.index(b"C", data.index(b"D"))]


class IgnoreDisconnect:
    """Ignores that the balancer has closed the connection on which the test writes."""

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        return kind is not None and issubclass(kind, (BrokenPipeError, ConnectionResetError))


def second_query(rig, wait_ms=500.0):
    """Have one query answered and the next one sent on the same connection; return the node's end of it."""
    rig.pick(1)
    node = rig.node.accept_one()
    node.wait_for_queries()
    node.reply(row(b"1"))
    rig.outcome(1)
    rig.until(lambda: rig.idle_count() == 1)
    rig.pick(2, wait_ms=wait_ms)
    node.wait_for_queries(2)
    return node


def assert_single_use(case, rig, rpcs):
    """Check that each further pick is sent over a connection of its own."""
    for rpc in rpcs:
        rig.pick(rpc)
        node = rig.node.accept_one()
        node.wait_for_queries()
        case.assertEqual(len(node.statements()), 1)
        node.reply(row(b"%d" % rpc))
        case.assertEqual(rig.outcome(rpc), OK)
        rig.until(lambda: rig.nodes.connection_count == 0)
