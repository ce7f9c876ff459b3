"""A configuration with one invalid value is refused in one line that names the key and the value.

Guards against a start that fails later, with a traceback or with no hint to the key, because a value was not checked
before the balancer was built. Each key of the example configuration gets each of many odd values.
"""

import copy
import json
import math
import unittest
from pathlib import Path

from brookreach.configuration import StartupError
from brookreach.net.runtime import BalancerRuntime

VALID = json.loads((Path(__file__).parent.parent / "deploy" / "marshal.json").read_text())
MISSING = object()
ODD_VALUES = [MISSING, None, True, -1, 0, 0.5, math.inf, -math.inf, math.nan, 10**400, "x", "", [], {}, [None], [{}]]
IGNORED_KEYS = {"cores", "cpuUsPerRequest", "cpuUsPerS", "maxStreams", "fields"}  # fields: reports are off


def all_paths(value, path=()):
    """Yields the path of every key and item, inner ones too."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, inner in items:
        yield (*path, key)
        yield from all_paths(inner, (*path, key))


def path_text(path):
    """Returns a path as errors write it."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)[1:]


def configuration_with(path, value):
    """Returns the valid configuration with another value at `path`, or without that key."""
    configuration = copy.deepcopy(VALID)
    parent = configuration
    for key in path[:-1]:
        parent = parent[key]
    if value is MISSING:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return configuration


class InvalidConfigurationTest(unittest.TestCase):
    def refusal(self, configuration):
        """Returns the error for the configuration, or None if a balancer was built from it."""
        try:
            BalancerRuntime(configuration).poller.close()
        except StartupError as error:
            return str(error)
        return None

    def test_each_key(self):
        """For a node of the list the error names its id and the key; for zones and kinds, the key that uses the name."""
        refused = 0
        for path in all_paths(VALID):
            for value in ODD_VALUES:
                error = self.refusal(configuration_with(path, value))
                if error is None:
                    finite = not isinstance(value, float) or math.isfinite(value)
                    self.assertTrue(finite or path[-1] in IGNORED_KEYS, path)
                    continue
                refused += 1
                self.assertNotIn("\n", error)
                self.assertLess(len(error), 250)
                if path[-1] == "stageShare" or path[-2:-1] == ("stageShare",):
                    self.assertIn("stageShare", error)
                elif path[:2] in (("settings", "skus"), ("settings", "zones")):
                    self.assertRegex(error, "flavor: 'std'|locality: '[ab]'|settings.(skus|zones)|settings.myZone")
                elif len(path) > 3 and path[0] == "known" and path[-1] != "id":
                    self.assertIn(f"members: 's-{path[2]}': ", error)
                    self.assertIn(path[-1], error)
                elif value is MISSING:
                    self.assertIn(str(path[-1]) if isinstance(path[-1], str) else "", error)
                elif value in ({}, [{}]):  # the error names a key that is missing from it
                    self.assertIn(path_text(path).split(".")[-1], error)
                else:
                    self.assertIn(path_text(path), error)
        self.assertGreater(refused, 1000)

    def test_values_that_contradict_each_other(self):
        settings = VALID["settings"]
        for path, value, expected in (
            (("settings", "classes"), [settings["classes"][0]] * 2, "settings.classes"),
            (("settings", "familyInfo", "exposureCaps"), [0.1], "exposureCaps is [0.1], not one cap for each"),
            (("settings", "myZone"), 9, "settings.myZone is 9, not"),
            (("known", "members", 1, "locality"), "z9", "members: 's-1': locality: 'z9'"),
            (("known", "members", 1, "id"), "s-0", "members: one id twice"),
            (("deployer", "news", "step"), 7, "configuration.deployer.news.step is 7, not a whole number from 0 to 1"),
            (("deployer", "news", "status"), "Odd", "configuration.deployer.news.status is 'Odd', an unknown word"),
            (("deployer", "address"), "here", "configuration.deployer.address is 'here', not an address with a port"),
            (("settings", "report"), {"via": "inline", "fields": ["x"]}, "settings.report.fields[0] is 'x'"),
            (("settings", "allowed", "keepaliveUs"), -1, "settings.allowed.keepaliveUs is -1, not a number"),
            (("limits", "sockets"), 20, "limits.sockets 20 or limits.memory_mb 64 leave no room for connections"),
            (("limits", "memory_mb"), "64", "limits.memory_mb is '64', not a number"),
        ):
            self.assertIn(expected, self.refusal(configuration_with(path, value)) or "no error")

    def test_a_valid_configuration_is_taken_and_ignored_keys_may_hold_anything(self):
        self.assertIsNone(self.refusal(VALID))
        for key in IGNORED_KEYS - {"cores", "fields"}:
            self.assertIsNone(self.refusal(configuration_with(("settings", "allowed", key), "anything")))
