"""Invalid settings are refused in one line that names the key and the value.

Guards against settings that are taken although a value has a wrong type or is out of range, as NaN or a boolean in
place of a number may be, and against errors that don't lead an operator to the key.
"""

import json
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.settings_object import SettingsError

from .helpers import SETTINGS

# Keys of the documented object that the reader ignores.
IGNORED_SETTINGS = {
    "clients": {"marksRetry": False},
    "goal": {"whole": 0.4},
    "serviceType": "rollout",
    "tier": 0,
    "tiers": ["desk"],
    "weightKind": "nominal",
    "worthBy": "work",
}
COMPLETE_JSON = json.dumps(SETTINGS | IGNORED_SETTINGS)
READ_KEYS = (
    "allowed",
    "balancers",
    "classes",
    "familyInfo",
    "fees",
    "guarantees",
    "myZone",
    "ordinal",
    "overShareWorth",
    "registryMode",
    "report",
    "tenants",
    "tickUs",
)  # required; `zones` is optional
IGNORED_KEYS = {
    "allowed": {"cpuUsPerRequest", "cpuUsPerS", "dialTimeoutUs", "keepaliveUs", "maxStreams"},
    "familyInfo": {"warmKeys"},
}
NAN, INF = math.nan, math.inf


def complete_settings():
    """Returns valid settings with a tenant and load reports."""
    values = json.loads(COMPLETE_JSON)
    values["tenants"] = [{"name": "one", "share": 0.7, "allowancePerS": 40.0}]
    values["report"] = {"via": "inline", "fields": ["busy_reqs", "cpu_share"]}
    return values


def value_at(values, path):
    for step in path:
        values = values[step]
    return values


def settings_with(path, value):
    """Returns complete settings with another value at `path`."""
    values = complete_settings()
    value_at(values, path[:-1])[path[-1]] = value
    return values


def path_text(path):
    """Returns a path as errors write it."""
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)[1:]


def all_paths(values, path=()):
    """Yields the path of every key and item, inner ones too."""
    items = values.items() if isinstance(values, dict) else enumerate(values) if isinstance(values, list) else ()
    for key, value in items:
        yield (*path, key)
        yield from all_paths(value, (*path, key))


def is_read(path):
    return path[0] in READ_KEYS and not (len(path) > 1 and path[1] in IGNORED_KEYS.get(path[0], ()))


def invalid_values(valid):
    """Returns values that are invalid wherever `valid` is valid."""
    if isinstance(valid, bool):
        return None, 0, 1, "true", [], {}
    if isinstance(valid, (int, float)):
        return None, True, -0.5, "1", "", [], {}, NAN, INF, -INF, 10**400, -(10**400)
    if isinstance(valid, str):
        return None, True, 1, "", [], {}
    return (None, True, 1, "some text", "x" * 5000, *([{}] if isinstance(valid, list) else [[], [None]]))


def refusal(test, values):
    """Returns the error for the settings, which has to be one short line."""
    with test.assertRaises(SettingsError) as caught:
        read_balancer_settings(1, values)
    text = str(caught.exception)
    test.assertEqual(text, text.splitlines()[0])
    test.assertLess(len(text), 250)
    return text


class InvalidSettingsTest(unittest.TestCase):
    def test_complete_settings_are_read_and_unknown_keys_are_ignored(self):
        values = complete_settings()
        values["classes"][0]["another"] = values["allowed"]["another"] = {"deep": [1]}
        start = read_balancer_settings(5, values)
        self.assertEqual([method.name for method in start.methods], ["look", "book"])
        self.assertEqual((start.seed, start.place.zone, start.exposure.caps), (5, 0, (0.1, 1.0)))

    def test_numbers_may_be_written_with_or_without_a_decimal_point(self):
        values = complete_settings()
        for path in list(all_paths(values)):
            value = value_at(values, path)
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                value_at(values, path[:-1])[path[-1]] = float(value)
        self.assertEqual(read_balancer_settings(5, values), read_balancer_settings(5, complete_settings()))

    def test_a_missing_key_is_named_with_its_path(self):
        tried = 0
        for path in all_paths(complete_settings()):
            if isinstance(path[-1], int) or not is_read(path):
                continue
            values = complete_settings()
            del value_at(values, path[:-1])[path[-1]]
            with self.subTest(path_text(path)):
                self.assertEqual(refusal(self, values), f"settings lack or misname {path_text(path)!r}")
            tried += 1
        self.assertGreater(tried, 60)

    def test_a_value_of_another_type_is_named_with_its_path_and_shown(self):
        tried = 0
        for path in all_paths(complete_settings()):
            if not is_read(path):
                continue
            for value in invalid_values(value_at(complete_settings(), path)):
                with self.subTest(f"{path_text(path)} {value!r:.40}"):
                    text = refusal(self, settings_with(path, value))
                    self.assertTrue(text.startswith(f"settings.{path_text(path)} is {repr(value)[:60]}"), text)
                tried += 1
        self.assertGreater(tried, 500)

    def test_report_fields_are_ignored_where_nothing_is_reported(self):
        for report in ({"via": "off"}, {"via": "off", "fields": ["of another kind"]}):
            self.assertEqual(read_balancer_settings(1, settings_with(("report",), report)).reports, ())

    def test_values_that_contradict_each_other(self):
        for path, value, text in (
            (
                ("familyInfo", "exposureCaps"),
                [0.1],
                "settings.familyInfo.exposureCaps is [0.1], not one cap for each of the 2 stages of stageShare",
            ),
            (("familyInfo", "stageShare"), [], "settings.familyInfo.stageShare is [], not one stage or more"),
            (
                ("familyInfo", "exposureCaps", 1),
                1.5,
                "settings.familyInfo.exposureCaps[1] is 1.5, not a number from 0 to 1",
            ),
            (("classes",), [], "settings.classes is [], not one class or more"),
            (("classes", 1, "name"), "look", "settings.classes[1].name is 'look', as settings.classes[0].name is"),
            (
                ("classes", 0, "idempotency"),
                "safe",
                "settings.classes[0].idempotency is 'safe', an unknown word; "
                "known: read_like, idempotency_key, non_idempotent",
            ),
            (("classes", 0, "windowUs"), True, "settings.classes[0].windowUs is True, not a number from 0 up"),
            (("ordinal",), 1, "settings.ordinal is 1, not below settings.balancers, 1"),
            (("balancers",), 0, "settings.ordinal is 0, not below settings.balancers, 0"),
            (("myZone",), 2, "settings.myZone is 2, not one of the 2 settings.zones, counted from 0"),
            (("allowed", "sendCap"), 1.5, "settings.allowed.sendCap is 1.5, not a whole number from 0 up"),
            (
                ("report",),
                {"via": "inline", "fields": ["qps"]},
                "settings.report.fields[0] is 'qps', an unknown "
                "word; known: busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps",
            ),
            (("registryMode",), "poll", "settings.registryMode is 'poll', an unknown word; known: push, ask"),
        ):
            with self.subTest(path_text(path)):
                self.assertEqual(refusal(self, settings_with(path, value)), text)

    def test_settings_that_are_no_object(self):
        for values in (None, [], "settings", 5):
            self.assertEqual(refusal(self, values), f"settings is {values!r}, not an object")

    @settings(max_examples=150, deadline=None, database=None, derandomize=True)
    @given(st.data())
    def test_any_value_at_any_path_is_read_or_refused_in_one_line(self, data):
        path = data.draw(st.sampled_from(list(all_paths(complete_settings()))))
        value = data.draw(
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=80),
                lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
            )
        )
        values = json.loads(json.dumps(settings_with(path, value)))
        try:
            start = read_balancer_settings(1, values)
        except SettingsError as error:
            self.assertEqual(len(str(error).splitlines()), 1)
            return
        for method in start.methods:
            self.assertTrue(
                method.name
                and all(
                    0.0 <= number < INF
                    for number in (method.token_ms, method.soft_ms, method.hard_ms, method.utility, method.late_utility)
                )
            )


if __name__ == "__main__":
    unittest.main()
