"""Messages of discovery and the platform with one change, over real sockets: applied completely or not at all."""

import json
import random
import unittest
import unittest.mock

import anyio

from brookreach import interface as ifc
from brookreach.net.discovery import DiscoveryClient

from .helpers import NEWS, until
from .mutants import CHUNKED, FIN, Mutant, answer_mutants, chunk, http, json_mutants
from .mutation_services import COUNTS, MEMBER, ScriptedServices, event_fields, parse_feed_line

NOTHING = (Mutant("an end", (), FIN), None, True)


def run_story(story):
    """Run `story` in a deployment with scripted services; return the rules that were broken."""
    deployment = ScriptedServices()

    async def play():
        with anyio.fail_after(60):
            async with deployment.open():
                deployment.shorten_timeouts()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(deployment.send_rpcs)
                    await story(deployment)
                    tasks.cancel_scope.cancel()

    anyio.run(play)
    has_few_rows = deployment.row_counts[0] < 0.9 * deployment.row_counts[1] or not deployment.row_counts[1]
    return deployment.violations + ([f"{deployment.row_counts}: rows, RPCs"] if has_few_rows else [])


class DiscoveryTest(unittest.TestCase):
    def lists(self, name, change, first=False, most=80):
        """Mutate a list or a change of it in each way, as the answer to a watch or, if `first`, to the call before it."""

        async def story(deployment):
            member = MEMBER | {"host_port": deployment.at["node"]}
            members = [] if change is None else [member | change, member | {"id": "s-2"}]
            body = json.dumps({"revision": 1 << 40, "complete": first, "members": members}).encode()
            found = answer_mutants(body, len(name), most)
            for mutant, text in random.Random(len(name)).sample(found, most):
                mutant = mutant._replace(name=f"{name}, {mutant.name}")
                exact = ", json: " in mutant.name or mutant.name.endswith(("single bytes", "of one byte"))
                deployment.lists += [NOTHING, (mutant, text, exact)] if first else [(mutant, text, exact)]
            await until(lambda: not deployment.lists and deployment.mutant_name == "a good list")

        return run_story(story)

    def test_whole_lists(self):
        self.assertEqual(self.lists("whole list", {}, first=True), [])

    def test_changes(self):
        self.assertEqual(self.lists("change", {"size": 2.0}), [])

    def test_empty_changes(self):
        self.assertEqual(self.lists("empty change", None), [])

    def test_drains(self):
        self.assertEqual(self.lists("drain", {"phase": "leaving"}), [])

    def test_gone(self):
        self.assertEqual(self.lists("gone", {"phase": "left"}), [])


class PlatformTest(unittest.TestCase):
    def test_votes(self):
        """Each vote has one outcome: OK only for a complete valid reply, else one by which it may have been counted."""
        body, violations = json.dumps(NEWS).encode(), []

        async def story(deployment):
            for mutant, text in random.Random(8).sample(answer_mutants(body, 7, 110), 110):
                deployment.ballot_response = mutant
                told = parse_feed_line(json.dumps({"type": "ROLLOUT", "object": readable(text)}))
                with unittest.mock.patch.object(deployment.runtime.platform, "on_event", (events := []).append):
                    await deployment.runtime.platform.vote(ifc.Vote(ifc.Verdict.BACK, 1, 7))
                if len(events) != 1 or not events[0].reply:
                    violations.append(f"{mutant.name}: {events}")
                elif events[0].ending == ifc.Outcome.OK and (not told or event_fields(events[0]) != told):
                    violations.append(f"{mutant.name}: ok, {events[0]} where it says {told}")
                elif events[0].ending not in (ifc.Outcome.OK, ifc.Outcome.TIMEOUT, ifc.Outcome.ERROR):
                    violations.append(f"{mutant.name}: {events[0].ending.name}, and it may have counted")

        self.assertEqual(run_story(story) + violations, [])

    def test_feeds(self):
        """Each feed gives the events before its first line that can't be read, which ends it."""
        state, counts = {"type": "ROLLOUT", "object": NEWS}, {"type": "SAMPLE", "object": COUNTS}
        texts = [[text, json.dumps(counts), "{}"] for _, text in json_mutants(state)]
        texts += [[json.dumps(state), text, json.dumps(state)] for _, text in json_mutants(counts)]
        texts, violations = random.Random(9).sample(texts, 150), []

        async def story(deployment):
            first_feed = deployment.feed_count
            for lines in texts:
                data = b"".join(chunk(one.encode("latin-1") + b"\n") for one in lines)
                deployment.feeds.append(Mutant("feed", (http(data + chunk(b""), headers=CHUNKED),), FIN))
            deployment.feeds[:0] = [None] * first_feed
            deployment.runtime.platform.feed_scope.cancel()  # the valid one that is open
            await until(lambda: deployment.feed_count > len(deployment.feeds))
            for at, lines in enumerate(texts, first_feed):
                first, end = deployment.events_before_feed[at : at + 2]
                told = [event_fields(one) for one in deployment.events[first:end]]
                read = [parse_feed_line(one) for one in lines]
                whole = read[: read.index(None)] if None in read else read
                if told != [one for one in whole if one]:
                    violations.append(f"{lines}: told {told}")

        self.assertEqual(run_story(story) + violations, [])


def readable(text):
    try:
        return json.loads(text)
    except (TypeError, ValueError, RecursionError):
        return None


class PlantedTest(unittest.TestCase):
    def test_half_a_list_is_taken(self):
        """A balancer that takes over a list's version before it has read all of the list."""
        apply_listing = DiscoveryClient.apply_listing

        def take_version_first(self, listing, cached=False):
            self.version = listing["revision"]
            apply_listing(self, listing, cached)

        with unittest.mock.patch.object(DiscoveryClient, "apply_listing", take_version_first):
            self.assertTrue(DiscoveryTest().lists("change", {"size": 2.0}, most=60))
