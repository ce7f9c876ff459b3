"""Picks at a stand-in node on loopback, compared with recorded traces that do not depend on the machine's speed."""

from functools import partial

from brookreach.net import pgwire

from .helpers import REPLIES, TraceCase, into, run_story, until


class NodesTest(TraceCase):
    def test_outcomes(self):
        async def story(asked, deployment):
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, *asked)

        trace = []
        for asked in [(word, method) for word in [*REPLIES, "reset"] for method in ("look", "book")]:
            trace += run_story(partial(story, asked))
        self.compare("outcomes", trace)

    def test_never_up(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            deployment.node.welcomes = False
            deployment.trace.append("the node takes the connection and never welcomes it: nothing was written")
            await deployment.ask(client, "row", "book")
            deployment.trace.append(f"  queries written: {len(deployment.node.heard)}")

        self.compare("never_up", run_story(story))

    def test_time_and_leaving(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "nothing", "book", wait=150)
            await until(lambda: any("TIMEOUT" in line for line in deployment.trace))
            told = int(deployment.node.heard[-1].split("d=")[2].split(" ")[0])
            deployment.trace.sort()  # their order is random
            deployment.trace.append(f"  the node was told no more than is left: {0 < told <= 150}")
            deployment.trace.append("the client leaves while its RPC is under way")
            other = await deployment.client()
            await deployment.answer(other)
            await other[0].send(b"".join(pgwire.query_message(b"SELECT 'nothing' /* id=0b,c=look,d=200 */")))
            await until(lambda: len(deployment.node.heard) == 2)
            await other[0].aclose()
            await until(lambda: "TIMEOUT, final" in deployment.trace[-1])

        self.compare("leaving", run_story(story))

    def test_stale_idle_and_drain(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "row")
            deployment.trace.append("the node ends the idle connection: the next RPC goes over a new one")
            nodes = deployment.runtime.driver.nodes
            link = nodes.endpoints[1].idle_connections[0]
            link.sock.shutdown(2)
            await deployment.ask(client, "row", "book")
            deployment.trace.append(f"  connections {deployment.node.links}, held {nodes.connection_count}")
            deployment.trace.append("told draining: its idle connections are closed, nothing goes there")
            deployment.node_phase, deployment.revision = "leaving", 2
            deployment.list_changed.set()
            await until(lambda: nodes.connection_count == 0)
            await deployment.ask(client, "row")
            deployment.trace.append(f"  queries written: {len(deployment.node.heard)}")

        self.compare("stale", run_story(story))

    def test_listing_changes_while_connecting(self):
        async def story(deployment):
            deployment.node.welcomes = False
            client = await deployment.client()
            await deployment.answer(client)
            nodes = deployment.runtime.driver.nodes
            await client[0].send(b"".join(pgwire.query_message(b"INSERT 'row' /* id=0a,c=book,d=900 */")))
            await until(lambda: nodes.connection_count == 1)
            for link in list(deployment.runtime.poller.watched.values()):
                if getattr(link, "endpoint", None):
                    nodes.invalidate_picks(7)  # decided under a higher cap
                    into(link.inbound, pgwire.READY_FOR_QUERY)
                    link.state = 1
                    link.on_data()
            await until(lambda: any("MOOT" in line for line in deployment.trace))
            deployment.trace.append(f"  queries written: {len(deployment.node.heard)}")
            deployment.trace = [line for line in deployment.trace if "NO_CONNECT" not in line][:2]

        self.compare("cap_fell", run_story(story))
