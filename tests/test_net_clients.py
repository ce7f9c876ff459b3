"""Client connections on loopback, compared as traces; none depends on the machine's speed."""

import os
import signal

from brookreach.net import pgwire

from .helpers import TraceCase, run_story, until


class ClientsTest(TraceCase):
    def test_startup_and_what_does_nothing(self):
        async def story(deployment):
            client = await deployment.client(start=False)
            for code in (pgwire.SSL, pgwire.GSSENC):
                await client[0].send(pgwire.INT32.pack(8) + pgwire.INT32.pack(code))
                deployment.trace.append(f"encryption asked for: {await client[0].receive(1)}")
            first = pgwire.startup_message("portal", "crm") + b"".join(pgwire.query_message(b""))
            for at in range(len(first)):
                await client[0].send(first[at : at + 1])
            deployment.trace.append(f"startup: {await deployment.answer(client)}")
            deployment.trace.append(f"empty query right behind it: {await deployment.answer(client)}")
            for text in (b" ; ", b"SET x TO 1", b"DISCARD ALL"):
                await client[0].send(b"".join(pgwire.query_message(text)))
                deployment.trace.append(f"{text}: {await deployment.answer(client)}")
            deployment.trace.append("three RPCs at once: answers come in their order")
            await client[0].send(
                b"".join(
                    b"".join(pgwire.query_message(b"SELECT '%b' /* id=%d,c=look,d=900 */" % (word, at)))
                    for at, word in enumerate((b"row", b"error", b"row"))
                )
            )
            for _ in range(3):
                deployment.trace.append(f"  {await deployment.answer(client)}")
            await client[0].send(pgwire.TERMINATE)
            deployment.trace.append(f"terminate: {await deployment.answer(client)}")

        trace = run_story(story)
        self.compare("startup", [line for line in trace if "module" not in line])

    def test_bad_input(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            for text in (b"SELECT 1", b"SELECT 'row' /* id=0a,c=none,d=9 */", b"SELECT 'row' /* id=0a,c=look */"):
                await client[0].send(b"".join(pgwire.query_message(text)))
                deployment.trace.append(f"{text.decode()}: {await deployment.answer(client)}")
            deployment.trace.append("extended protocol: one error, then nothing until Sync")
            for tag in (b"P", b"B", b"E", b"S"):
                await client[0].send(b"".join(pgwire.encode_message(tag, b"\0\0")))
            deployment.trace.append(f"  {await deployment.answer(client)}")
            await client[0].send(b"".join(pgwire.encode_message(b"F", b"\0")))
            deployment.trace.append(f"function call: {await deployment.answer(client)}")
            for name, data in (("unknown message", b"?\0\0\0\4"), ("nonsense length", b"Q\xff\xff\xff\xff")):
                client = await deployment.client()
                await deployment.answer(client)
                await client[0].send(data)
                deployment.trace.append(f"{name}: {await deployment.answer(client, until=b'')}")
            for name, data in (
                ("endless startup", b"\0\1\0\0" + bytes(8000)),
                ("startup of old", b"\0\0\0\x08\0\2\0\0"),
            ):
                client = await deployment.client(start=False)
                await client[0].send(data)
                deployment.trace.append(f"{name}: {await deployment.answer(client)}")
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "row")

        self.compare("bad_input", run_story(story))

    def test_connections_are_evicted_when_many_connect(self):
        async def story(deployment):
            busy, idle = await deployment.client(), await deployment.client()
            for client, text in ((busy, b"INSERT 'nothing' /* id=0b,c=book,d=2900 */"), (idle, b"")):
                await deployment.answer(client)
                await client[0].send(b"".join(pgwire.query_message(text)))
            await deployment.answer(idle)
            most, clients = deployment.runtime.limits.max_clients, deployment.runtime.clients
            crowd = [await deployment.client(start=at % 2 == 1) for at in range(most + 20)]
            late = await deployment.client()
            await deployment.answer(late)
            await deployment.ask(late, "row")
            deployment.trace.append(f"most {most}, open {len(clients.connected)}, of them silent {len(clients.silent)}")
            for client in crowd[1::2]:
                await client[0].send(pgwire.INT32.pack(90)[:3])  # half a message counts as silence
            await until(lambda: not clients.silent)
            deployment.trace.append(
                f"silence has an end: {await deployment.answer(crowd[-1])}, open {len(clients.connected)}"
            )
            await idle[0].send(b"".join(pgwire.query_message(b"")))
            deployment.trace.append(
                f"idle: {await deployment.answer(idle)}; under way: {await deployment.answer(busy)}"
            )
            deployment.trace.append(
                f"rows {len(clients.partial)} half, {len(clients.stalled)} stalled, pool {clients.pool.free}"
            )

        self.compare("crowd", [line for line in run_story(story) if "module" not in line])

    def test_one_connection_takes_no_more_than_its_share(self):
        async def story(deployment):
            client, clients = await deployment.client(), deployment.runtime.clients
            await deployment.answer(client)
            turns, look = [0], clients.resume_reading

            def counted():
                turns[0] += 1
                return look()

            deployment.runtime.driver.on_queue_empty = counted
            await client[0].send(b"".join(pgwire.query_message(b"")) * 400)
            said = [await deployment.answer(client) for _ in range(400)]
            deployment.trace.append(f"400 commands at once: {set(said)}, in many turns: {turns[0] >= 40}")
            await client[0].send(
                b"".join(b"".join(pgwire.query_message(b"SELECT %d /* id=0a,c=none,d=9 */" % at)) for at in range(20))
            )
            said = [await deployment.answer(client) for _ in range(9)]
            deployment.trace.append(f"20 unknown classes at once: {', '.join(said)}")
            first, second = await deployment.client(), await deployment.client()
            for one in (first, second):
                await deployment.answer(one)
            await first[0].send(b"".join(pgwire.query_message(b"SELECT 'nothing' /* id=0c,c=look,d=300 */")))
            await until(lambda: len(deployment.node.heard) == 1)
            await deployment.ask(second, "row", number="0c")
            deployment.trace.append(f"the first with that id: {await deployment.answer(first)}")
            await deployment.ask(second, "row", number="0c")
            await second[0].send(b"Q" + (60 << 20).to_bytes(4, "big") + bytes(5000))
            deployment.trace.append(f"60 MB: {await deployment.answer(second, until=b'')}; pool {clients.pool.free}")

        self.compare("share", [line for line in run_story(story) if "module" not in line])

    def test_the_balancer_fails(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "row")
            deployment.faults_allowed = True
            deployment.runtime.driver.balancer.handle = lambda now, event: 1 / 0
            await client[0].send(b"".join(pgwire.query_message(b"SELECT 'row' /* id=0b,c=look,d=900 */")))
            deployment.trace.append(f"the module fails: {await deployment.answer(client)}")
            await deployment.ask(client, "row", "book")

        trace = run_story(story)
        self.compare("module_fails", trace)

    def test_stop(self):
        async def story(deployment):
            busy, idle = await deployment.client(), await deployment.client()
            await deployment.answer(busy)
            await deployment.answer(idle)
            await busy[0].send(b"".join(pgwire.query_message(b"SELECT 'nothing' /* id=0b,c=book,d=1400 */")))
            await until(lambda: len(deployment.node.heard) == 1)
            os.kill(os.getpid(), signal.SIGTERM)
            late = await deployment.client()
            await deployment.answer(late)
            await deployment.ask(late, "row")
            deployment.trace.append(f"idle: {await deployment.answer(idle)}")
            deployment.trace.append(f"under way: {await deployment.answer(busy)}, then {await deployment.answer(busy)}")
            deployment.trace.append(f"a new one: {await deployment.answer(await deployment.client())}")
            for client in (idle, busy, late):
                await client[0].aclose()
            await until(lambda: deployment.runtime.clients.listener is None)
            with self.assertRaises(OSError):
                await deployment.client()

        self.compare("stop", [line for line in run_story(story) if "module" not in line])
