"""Settings that are not as the users' pages word them: one line that says which key, and what stands there."""

import json
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.settings_object import SettingsError

from .helpers import SETTINGS

# The object as the users' wire page shows it: more keys than are read.
MORE = {
    "clients": {"marksRetry": False},
    "goal": {"whole": 0.4},
    "serviceType": "rollout",
    "tier": 0,
    "tiers": ["desk"],
    "weightKind": "nominal",
    "worthBy": "work",
}
WHOLE = json.dumps(SETTINGS | MORE)
READ = (
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
)  # what may not be missing; zones matter where they are told
NOT_READ = {
    "allowed": {"cpuUsPerRequest", "cpuUsPerS", "dialTimeoutUs", "keepaliveUs", "maxStreams"},
    "familyInfo": {"warmKeys"},
}
NAN, INF = math.nan, math.inf


def whole():
    told = json.loads(WHOLE)
    told["tenants"] = [{"name": "one", "share": 0.7, "allowancePerS": 40.0}]
    told["report"] = {"via": "inline", "fields": ["busy_reqs", "cpu_share"]}
    return told


def at(told, path):
    for step in path:
        told = told[step]
    return told


def changed(path, value):
    told = whole()
    at(told, path[:-1])[path[-1]] = value
    return told


def worded(path):
    """A path as a line names it."""
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)[1:]


def paths(told, path=()):
    """Every key and item of the object, inner ones too."""
    items = told.items() if isinstance(told, dict) else enumerate(told) if isinstance(told, list) else ()
    for key, value in items:
        yield (*path, key)
        yield from paths(value, (*path, key))


def is_read(path):
    return path[0] in READ and not (len(path) > 1 and path[1] in NOT_READ.get(path[0], ()))


def wrong_at(here):
    """What can't stand where this stands."""
    if isinstance(here, bool):
        return None, 0, 1, "true", [], {}
    if isinstance(here, (int, float)):
        return None, True, -0.5, "1", "", [], {}, NAN, INF, -INF, 10**400, -(10**400)
    if isinstance(here, str):
        return None, True, 1, "", [], {}
    return (None, True, 1, "some text", "x" * 5000, *([{}] if isinstance(here, list) else [[], [None]]))


def line_of(test, told):
    """The one line that the settings are refused with."""
    with test.assertRaises(SettingsError) as caught:
        read_balancer_settings(1, told)
    text = str(caught.exception)
    test.assertEqual(text, text.splitlines()[0])
    test.assertLess(len(text), 250)
    return text


class FactsBadTest(unittest.TestCase):
    def test_as_worded_they_are_taken_and_more_keys_do_no_harm(self):
        told = whole()
        told["classes"][0]["another"] = told["allowed"]["another"] = {"deep": [1]}
        start = read_balancer_settings(5, told)
        self.assertEqual([method.name for method in start.methods], ["look", "book"])
        self.assertEqual((start.seed, start.place.zone, start.exposure.caps), (5, 0, (0.1, 1.0)))

    def test_numbers_may_come_with_or_without_a_point(self):
        told = whole()
        for path in list(paths(told)):
            value = at(told, path)
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                at(told, path[:-1])[path[-1]] = float(value)
        self.assertEqual(read_balancer_settings(5, told), read_balancer_settings(5, whole()))

    def test_what_is_missing_is_named_with_its_path(self):
        seen = 0
        for path in paths(whole()):
            if isinstance(path[-1], int) or not is_read(path):
                continue
            told = whole()
            del at(told, path[:-1])[path[-1]]
            with self.subTest(worded(path)):
                self.assertEqual(line_of(self, told), f"settings lack or misname {worded(path)!r}")
            seen += 1
        self.assertGreater(seen, 60)

    def test_a_value_of_another_type_is_named_with_its_path_and_shown(self):
        seen = 0
        for path in paths(whole()):
            if not is_read(path):
                continue
            for value in wrong_at(at(whole(), path)):
                with self.subTest(f"{worded(path)} {value!r:.40}"):
                    text = line_of(self, changed(path, value))
                    self.assertTrue(text.startswith(f"settings.{worded(path)} is {repr(value)[:60]}"), text)
                seen += 1
        self.assertGreater(seen, 500)

    def test_fields_are_not_asked_for_where_nothing_is_reported(self):
        for report in ({"via": "off"}, {"via": "off", "fields": ["of another kind"]}):
            self.assertEqual(read_balancer_settings(1, changed(("report",), report)).reports, ())

    def test_what_does_not_fit_together(self):
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
            with self.subTest(worded(path)):
                self.assertEqual(line_of(self, changed(path, value)), text)

    def test_no_object_at_all(self):
        for told in (None, [], "settings", 5):
            self.assertEqual(line_of(self, told), f"settings is {told!r}, not an object")

    @settings(max_examples=150, deadline=None, database=None, derandomize=True)
    @given(st.data())
    def test_whatever_stands_anywhere_it_is_taken_or_refused_in_one_line(self, data):
        path = data.draw(st.sampled_from(list(paths(whole()))))
        value = data.draw(
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=80),
                lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
            )
        )
        told = json.loads(json.dumps(changed(path, value)))
        try:
            start = read_balancer_settings(1, told)
        except SettingsError as error:
            self.assertEqual(len(str(error).splitlines()), 1)
            return
        for method in start.methods:
            self.assertTrue(
                method.name
                and all(
                    0.0 <= told < INF
                    for told in (method.token_ms, method.soft_ms, method.hard_ms, method.utility, method.late_utility)
                )
            )


if __name__ == "__main__":
    unittest.main()
