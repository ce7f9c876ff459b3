"""Stand-ins of discovery and the platform on loopback, compared with recorded traces that do not depend on the machine's
speed."""

import json

from brookreach import interface as ifc

from .helpers import NEWS, TraceCase, run_story, until


class ServicesTest(TraceCase):
    def test_votes(self):
        async def story(deployment):
            vote = deployment.runtime.platform.vote
            for answer in (
                (200, json.dumps(NEWS), True),
                (429, '{"error":"BUSY"}', True),
                (409, '{"error":"STALE"}', True),
                (500, "", True),
                (400, "", True),
                (302, "", True),
                (200, "{", True),
                (200, '{"version":7}', True),
                (0, "", True),
                (200, "", False),
            ):
                deployment.ballot_response = answer
                deployment.trace.append(f"{answer[0]} {answer[1] if answer[0] != 200 else ''}")
                before = len(deployment.trace)
                await vote(ifc.Vote(ifc.Verdict.BACK, 1, 7))
                await until(lambda before=before: any("vote" in line for line in deployment.trace[before:]))
            ballots = [call for call in deployment.platform.calls if "ballots" in call]
            deployment.trace.append(f"calls {len(ballots)}, each {ballots[0]}")
            deployment.runtime.platform.address = ("127.0.0.1", 1)
            await vote(ifc.Vote(ifc.Verdict.BACK, 1, 7))
            await until(lambda: "NO_CONNECT" in deployment.trace[-1])

        self.compare("votes", run_story(story))

    def test_feed_and_watch_lost_and_found(self):
        async def story(deployment):
            driver = deployment.runtime.driver
            told = {**NEWS, "step": 0, "version": 8, "status": "Progressing", "maxWeight": 0.1}
            good_line = json.dumps({"type": "ROLLOUT", "object": told})
            feeds = deployment.platform.calls
            await until(lambda: feeds.count("GET /api/feed") == 1)
            for bad in (
                "not json",
                "[]",
                '{"type":"ROLLOUT"}',
                '{"type":"SAMPLE","object":{"version":7}}',
                "[" * 9999,
                json.dumps({"type": "ROLLOUT", "object": {**told, "step": 2}}),
                "\xff{",
                good_line.replace("0.1", "1e999"),
                good_line.replace("0.1", "[]"),
            ):
                before = feeds.count("GET /api/feed")
                deployment.feed_response = (200, f"{{}}\n{bad}\n{good_line}\n", False)
                deployment.runtime.platform.feed_scope.cancel()  # as when the platform ends it
                await until(lambda before=before: feeds.count("GET /api/feed") > before + 1)
                deployment.trace.append(f"feed with {bad[:60]}: opened anew, build {driver.rollout_status.build}")
            deployment.feed_response = (200, good_line + "\n", False)
            await until(lambda: driver.rollout_status.build == 8)
            deployment.trace.append(
                f"a feed that reads whole: build {driver.rollout_status.build} cap {driver.rollout_status.cap}"
            )
            good = deployment.members
            deployment.members = lambda: '{"revision":3,"complete":true,"members":[{"id":"s-1","phase":"new"}]}'
            calls = len(deployment.discovery.calls)
            deployment.list_changed.set()
            await until(lambda: deployment.discovery.calls[calls:].count("GET /registry/instances") > 1)
            deployment.trace.append(
                f"bad lists: the last good one is kept, version {deployment.runtime.discovery.version}"
            )
            deployment.members, deployment.revision = good, 4
            await until(lambda: deployment.runtime.discovery.version == 4)
            deployment.trace.append("found again by a whole list")
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "row")

        self.compare("lost_and_found", run_story(story))
