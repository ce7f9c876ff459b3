"""Discovery and the platform say an answer twice: it is not the next call's.

What would be seen: an agent's answer stands twice on its connection; the second one is read as that of the next watch, the
watch's own answer as that of the one after it, and so on: each list is one call behind from then on. HTTP/1.1 pairs
answers with calls by order alone, and h11 keeps what came behind an answer for the next call. Shown by the first test here,
which failed before: the list after the copy was told as news a second time, and no new connection was made.
"""

import unittest

from .peers_http import Following, Peer, limits, listing, played


class WatchTest(unittest.TestCase):
    def followed(self, story):
        async def run(tasks):
            peer = await Peer().listen(tasks)
            town = Following(peer.at, limits())
            town.discovery.read(listing(1), cached=True)
            tasks.start_soon(town.discovery.follow)
            await story(town, peer)
            self.assertNotIn("fault", " ".join(town.report.lines))

        played(run)

    async def begun(self, town, peer):
        """A connection whose whole list has been told; its watch."""
        await (await peer.call()).answer(listing(2))
        await town.lists(2)
        return await peer.call()

    async def is_asked_anew(self, town, peer, version):
        """On another connection, from the whole list on; the change was told once."""
        call = await peer.call()
        while call.target.count("after="):  # a call may have been written before the copy came
            call = await peer.call()
        self.assertEqual((call.nth, call.target), (2, "/registry/instances"))
        self.assertEqual([one.version for one in town.told].count(version), 1)

    def test_right_behind_the_answer(self):
        async def story(town, peer):
            watch = await self.begun(town, peer)
            change = listing(3, "leaving", whole=False)
            await watch.answer_twice(change)
            await town.lists(3)
            await self.is_asked_anew(town, peer, 3)

        self.followed(story)

    def test_behind_the_next_call(self):
        async def story(town, peer):
            watch = await self.begun(town, peer)
            change = listing(3, "leaving", whole=False)
            await watch.answer(change)
            await town.lists(3)
            following = await peer.call()
            await following.answer(change)
            await self.is_asked_anew(town, peer, 3)

        self.followed(story)

    def test_an_answer_that_tells_no_change_may_come_again(self):
        async def story(town, peer):
            watch = await self.begun(town, peer)
            for _ in range(3):
                await watch.answer(listing(2, whole=False, members=()))
                watch = await peer.call()
                self.assertEqual((watch.nth, "after=2" in watch.target), (1, True))

        self.followed(story)

    def test_once_too_little(self):
        """A call without an answer ends its connection: the answer of the next is none of its."""

        async def story(town, peer):
            await self.begun(town, peer)
            await self.is_asked_anew(town, peer, 2)

        self.followed(story)


if __name__ == "__main__":
    unittest.main()
