"""The sample sites in deploy/sites: a balancer with the settings of each serves every method of it over sockets.

Guards against names, limits or modes that only the usual settings have, such as method names without dots or dashes.
"""

import json
import unittest

import anyio

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.net import pgwire

from .helpers import SimulatedDeployment
from .site_settings import HIGH, LOW, NAMES, read_site, settings_of

SMALL_LIMITS = {"cores": 0.25, "memory_mb": 24, "sockets": 96}


class SiteDeployment(SimulatedDeployment):
    """A deployment of a site's settings, with little memory and few sockets."""

    def members(self):
        listing = json.loads(super().members())
        listing["members"][0] |= {"locality": self.settings["zones"][-1], "flavor": self.settings["skus"][-1]}
        return json.dumps(listing)

    def config(self, **other):
        return super().config(**({"limits": SMALL_LIMITS} | other))


def rpc_query(number, method):
    """Returns an RPC of a method as its clients send it: what has an effect is an INSERT, what is tokened has a key."""
    statement = "SELECT data FROM facts WHERE code =" if method["effect"] == "safe" else "INSERT INTO facts VALUES"
    key = ",k=7f3a9c21e0b4d655" if method["effect"] == "keyed" else ""
    return f"{statement} 'row' /* id={number:x}{key},c={method['name']},d={method['deadline_ms']} */"


def without_deadline(query):
    return query.rpartition(",d=")[0]


def serve(site, queries):
    """Returns the answer to each query, each on a connection of its own, and the queries that reached the node."""
    answers, received = [], []

    async def story():
        deployment = SiteDeployment(settings_of(site))
        with anyio.fail_after(30):
            async with deployment.open():
                for query in queries:
                    client = await deployment.client()
                    await deployment.answer(client)
                    await client[0].send(b"".join(pgwire.query_message(query.encode())))
                    answers.append(await deployment.answer(client))
                    await client[0].aclose()
                received.extend(without_deadline(query) for query in deployment.node.heard)

    anyio.run(story)
    return answers, received


class SitesTest(unittest.TestCase):
    def test_every_method_of_each_site_is_served_under_its_name(self):
        self.assertGreaterEqual(len(NAMES), 2)
        for name in NAMES:
            for end in (LOW, HIGH):
                with self.subTest(name, end=end):
                    site = read_site(name, end)
                    queries = [rpc_query(number, method) for number, method in enumerate(site["class"], 1)]
                    answers, received = serve(site, queries)
                    self.assertEqual(answers, ["row 9f03, complete"] * len(site["class"]))
                    self.assertEqual(received, [without_deadline(query) for query in queries])

    def test_methods_of_other_sites_are_refused_as_unknown(self):
        for name in NAMES:
            others = [method for other in NAMES if other != name for method in read_site(other)["class"]]
            queries = [rpc_query(number, method) for number, method in enumerate(others, 1)]
            answers, received = serve(read_site(name), queries)
            self.assertEqual((answers, received), (["error 22023"] * len(others), []))

    def test_settings_are_read_as_the_site_has_them(self):
        for name in NAMES:
            site = read_site(name)
            settings = read_balancer_settings(1, settings_of(site))
            for method, read in zip(site["class"], settings.methods, strict=True):
                self.assertEqual((read.name, read.hard_ms), (method["name"], method["deadline_ms"]))
            self.assertEqual(
                (settings.permits.probes, settings.permits.second_copies, settings.permits.list_on_request),
                (site["allow"]["probes"], site["allow"]["second_copies"], site["discovery"]["mode"] == "ask"),
            )
            self.assertEqual(settings.exposure.by_method, site["fam"]["counts"] == "class")

    def test_the_sites_cover_what_customers_differ_in(self):
        sites = [read_site(name) for name in NAMES]
        methods = [method for site in sites for method in site["class"]]
        self.assertEqual({len(site["class"]) for site in sites}, {5})
        for site in sites:  # a rare method, a majority that may not be executed twice, unequal tenants
            total = sum(method["share"] for method in site["class"])
            self.assertAlmostEqual(min(method["share"] for method in site["class"]), 0.03 * total)
            unsafe = sum(method["share"] for method in site["class"] if method["effect"] == "unsafe")
            self.assertGreater(unsafe, 0.5 * total)
            self.assertGreater(len({tenant["share"] for tenant in site["tenant"]}), 1)
        self.assertLessEqual({"zone", "cell"}, {method["group"] for method in methods if method["effect"] == "keyed"})
        self.assertTrue(any(method.get("window_ms", 5000) < method["deadline_ms"] for method in methods))
        deadlines_ms = [method["deadline_ms"] for method in methods]
        self.assertEqual((min(deadlines_ms), max(deadlines_ms)), (400, 8000))
        self.assertTrue(all(set("._-") & set(method["name"]) for method in methods))
        for has_feature in (
            lambda site: site["discovery"]["mode"] == "ask",
            lambda site: site["fam"]["counts"] == "class",
            lambda site: len(site["net"]["zones"]) == 4,
            lambda site: not site["allow"]["probes"],
            lambda site: not site["allow"]["second_copies"],
            lambda site: site["fam"]["control"] != "any",
        ):
            self.assertTrue(any(has_feature(site) for site in sites))


if __name__ == "__main__":
    unittest.main()
