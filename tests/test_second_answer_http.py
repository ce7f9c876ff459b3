"""Discovery and the platform send a response twice: the copy must not be taken for the response to the next request.

HTTP/1.1 pairs responses with requests by order alone, and h11 keeps what arrived behind a response for the next request.
If the copy is read as the response to the next watch, each list is one request behind from then on. Before the fix the
first test here showed this: the change was reported a second time, and no new connection was made.
"""

import json
import unittest

from .peers_http import FEED, DiscoveryRig, FakeHttpServer, PlatformRig, chunk, limits, listing, run_with_tasks


class WatchTest(unittest.TestCase):
    def run_story(self, story):
        async def run(tasks):
            peer = await FakeHttpServer().listen(tasks)
            rig = DiscoveryRig(peer.at, limits())
            rig.discovery.apply_listing(listing(1), cached=True)
            tasks.start_soon(rig.discovery.follow)
            await story(rig, peer)
            self.assertNotIn("fault", " ".join(rig.report.lines))

        run_with_tasks(run)

    async def first_watch(self, rig, peer):
        """Have the whole list answered on a connection; return the watch that follows."""
        await (await peer.next_request()).answer(listing(2))
        await rig.wait_for_lists(2)
        return await peer.next_request()

    async def check_full_list_requested(self, rig, peer, version):
        """Check that discovery is called on another connection for the whole list, and the change was reported once."""
        call = await peer.next_request()
        while call.target.count("after="):  # a request may have been written before the copy arrived
            call = await peer.next_request()
        self.assertEqual((call.connection_number, call.target), (2, "/registry/instances"))
        self.assertEqual([one.version for one in rig.lists_received].count(version), 1)

    def test_right_behind_the_answer(self):
        async def story(rig, peer):
            watch = await self.first_watch(rig, peer)
            change = listing(3, "leaving", whole=False)
            await watch.answer_twice(change)
            await rig.wait_for_lists(3)
            await self.check_full_list_requested(rig, peer, 3)

        self.run_story(story)

    def test_behind_the_next_call(self):
        async def story(rig, peer):
            watch = await self.first_watch(rig, peer)
            change = listing(3, "leaving", whole=False)
            await watch.answer(change)
            await rig.wait_for_lists(3)
            following = await peer.next_request()
            await following.answer(change)
            await self.check_full_list_requested(rig, peer, 3)

        self.run_story(story)

    def test_an_answer_that_tells_no_change_may_come_again(self):
        async def story(rig, peer):
            watch = await self.first_watch(rig, peer)
            for _ in range(3):
                await watch.answer(listing(2, whole=False, members=()))
                watch = await peer.next_request()
                self.assertEqual((watch.connection_number, "after=2" in watch.target), (1, True))

        self.run_story(story)

    def test_once_too_little(self):
        """A request without a response ends its connection: the next response is not taken for its own."""

        async def story(rig, peer):
            await self.first_watch(rig, peer)
            await self.check_full_list_requested(rig, peer, 2)

        self.run_story(story)


def sample(failures, age_ms=900):
    told = {"version": 7, "kind": "look", "requests": 57, "failures": failures, "avgMs": 18.5, "observedAgoMs": age_ms}
    return json.dumps({"type": "SAMPLE", "object": told}).encode() + b"\n"


class FeedTest(unittest.TestCase):
    """A sample that is sent twice would count twice, and its failures are evidence against a build."""

    def heard(self, *chunks):
        """Return the failures of each sample that is reported before a last one."""
        failures = []

        async def run(tasks):
            peer = await FakeHttpServer().listen(tasks)
            rig = PlatformRig(peer.at, limits())
            tasks.start_soon(rig.platform.follow)
            call = await peer.next_request()
            await call.send(FEED + b"".join(chunk(one) for one in (*chunks, sample(55))))
            while not rig.events or rig.events[-1].failed != 55:
                await rig.wait_for_events(len(rig.events) + 1)
            failures.extend(one.failed for one in rig.events[:-1])

        run_with_tasks(run)
        return failures

    def test_a_chunk_twice(self):
        both = sample(2) + sample(3)
        self.assertEqual(self.heard(both, both), [2, 3])
        self.assertEqual(self.heard(sample(2), sample(2)), [2])

    def test_another_period_with_the_same_counts(self):
        self.assertEqual(self.heard(sample(2), sample(2, age_ms=901)), [2, 2])


if __name__ == "__main__":
    unittest.main()
