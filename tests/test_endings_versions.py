"""Lists whose version goes back, as from another agent after a change of address: a drain that was announced stays, and
an agent that restarts its versions is believed after a while."""

import unittest

from .peers_http import DiscoveryRig, FakeHttpServer, limits, listing, run_with_tasks


def states(node_list):
    return {entry.node: entry.state.name for entry in node_list.entries}


def members(**phases):
    rows = [listing(1, phase, members=(name,))["members"][0] for name, phase in phases.items()]
    return {"members": rows}


class VersionsTest(unittest.TestCase):
    def run_story(self, story, **other):
        """At version 5 `s1` drains and `s3` has left; then another agent is called."""

        async def run(tasks):
            old, new = await FakeHttpServer().listen(tasks), await FakeHttpServer().listen(tasks)
            rig = DiscoveryRig(old.at, limits(**other))
            tasks.start_soon(rig.discovery.follow)
            await (await old.next_request()).answer(listing(4) | members(s1="active", s2="active", s3="active"))
            watch = await old.next_request()
            await watch.answer(listing(5, whole=False) | members(s1="leaving", s3="left"))
            await rig.wait_for_lists(2)
            rig.discovery.set_address(new.at)
            await story(rig, new)
            self.assertNotIn("fault", " ".join(rig.report.lines))

        run_with_tasks(run)

    def test_an_agent_that_is_behind_takes_no_drain_back(self):
        async def story(rig, new):
            await (await new.next_request()).answer(listing(4) | members(s1="active", s2="active", s3="active"))
            await rig.wait_for_lists(3)
            self.assertEqual(list(states(rig.lists_received[2]).values()), ["DRAINING", "READY", "DRAINING"])
            watch = await new.next_request()
            self.assertIn("after=4&", watch.target)  # it sends what it lacks once it has it
            await watch.answer(listing(5, whole=False) | members(s1="leaving", s3="left"))
            await (await new.next_request()).answer(listing(6, whole=False) | members(s1="active"))
            await rig.wait_for_lists(5)
            self.assertEqual(states(rig.lists_received[4]), {1: "READY"})

        self.run_story(story)

    def test_an_agent_that_is_ahead_is_taken_as_it_stands(self):
        async def story(rig, new):
            await (await new.next_request()).answer(listing(6) | members(s1="active", s2="active"))
            await rig.wait_for_lists(3)
            self.assertEqual(states(rig.lists_received[2]), {1: "READY", 2: "READY"})

        self.run_story(story)

    def test_one_that_stays_behind_numbers_anew_and_is_asked_for_all_of_it(self):
        async def story(rig, new):
            await (await new.next_request()).answer(listing(1) | members(s1="active", s2="active"))
            whole = await new.next_request()
            self.assertEqual(whole.target, "/registry/instances")
            await whole.answer(listing(1) | members(s1="active", s2="active"))
            await rig.wait_for_lists(4)
            self.assertEqual(states(rig.lists_received[3]), {1: "READY", 2: "READY"})

        self.run_story(story, stale_list_period_s=-1.0)
