"""What happens between two calls for the list: what is received there, and which call follows."""

import unittest

import anyio

from .peers_http import DiscoveryRig, FakeHttpServer, ReceivedRequest, limits, listing, run_with_tasks


class BetweenTest(unittest.TestCase):
    """Connections that end between two calls, and an address that changes during a call."""

    def run_story(self, story, **other):
        async def run(tasks):
            peer = await FakeHttpServer().listen(tasks)
            rig = DiscoveryRig(peer.at, limits(**other))
            rig.discovery.apply_listing(listing(1), cached=True)
            tasks.start_soon(rig.discovery.follow)
            await story(rig, peer, tasks)
            self.assertNotIn("fault", " ".join(rig.report.lines))

        run_with_tasks(run)

    def test_a_connection_that_ends_behind_an_answer_is_opened_anew(self):
        async def story(rig, peer, tasks):
            for nth, end in enumerate((ReceivedRequest.close, ReceivedRequest.reset), 1):
                await (await peer.next_request()).answer(listing(2 * nth))
                watch = await peer.next_request()
                await watch.answer(listing(2 * nth + 1, whole=False))
                await end(watch)
                await rig.wait_for_lists(2 * nth + 1)
            self.assertEqual((await peer.next_request()).target, "/registry/instances")

        self.run_story(story)

    def test_an_answer_that_is_its_connections_last_is_no_defect_of_ours(self):
        async def story(rig, peer, tasks):
            for version in (2, 3, 4):
                await (await peer.next_request()).answer(listing(version), more="Connection: close\r\n")
                await rig.wait_for_lists(version)

        self.run_story(story)

    def test_an_agent_that_answers_without_waiting_is_not_asked_in_a_spin(self):
        async def story(rig, peer, tasks):
            await (await peer.next_request()).answer(listing(2))
            begun = anyio.current_time()
            for _ in range(4):
                await (await peer.next_request()).answer(listing(2, whole=False, members=()))
            self.assertGreater(anyio.current_time() - begun, 0.25)

        self.run_story(story)

    def test_moved_at_each_part_of_a_call_it_is_asked_elsewhere_at_once_and_the_old_one_is_left(self):
        for part in (b"", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"):
            for watch in (False, True):

                async def story(rig, peer, tasks, part=part, watch=watch):
                    other, call = await FakeHttpServer().listen(tasks), await peer.next_request()
                    if watch:
                        await call.answer(listing(1))
                        call = await peer.next_request()
                    await call.send(part)
                    rig.discovery.set_address(other.at)
                    rig.discovery.set_address(other.at)
                    await (await other.next_request()).answer(listing(2, "leaving"))
                    await call.closed.wait()
                    await rig.wait_for_lists(2 + watch)
                    self.assertEqual((rig.lists_received[-1].version, other.connection_count), (2, 1))

                self.run_story(story, full_list_timeout_s=10.0)
