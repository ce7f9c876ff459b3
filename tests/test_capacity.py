"""docs/CAPACITY.md against `brookreach capacity`, and its arithmetic."""

import importlib.util
import json
import math
import re
import unittest

from brookreach.capacity import arithmetic, measure, model, read, samples, table
from brookreach.disruption.tables import BALANCERS, NODES, PERMITS
from brookreach.files import read_toml
from tests.capacity_rig import FILE, ROOT, SMALL, command, small

PAGE = ROOT / "docs" / "CAPACITY.md"


class PageTest(unittest.TestCase):
    def setUp(self):
        self.capacity = read.capacity(FILE, read_toml(FILE))
        self.figures = [figure for group in self.capacity.group for figure in group.figures]

    def test_the_page_holds_what_the_command_prints(self):
        text = PAGE.read_text()
        self.assertEqual((text.count(table.BEGIN), text.count(table.END)), (1, 1))
        embedded = text[text.index(table.BEGIN) + len(table.BEGIN) : text.index(table.END)].strip("\n")
        printed = command(str(FILE), "--markdown")
        self.assertEqual(printed.exit_code, 0, printed.output)
        self.assertEqual(embedded, printed.output.strip("\n"))

    def test_ratios_named_in_the_text_stand_in_the_tables(self):
        text = PAGE.read_text()
        named = re.findall(r"ratio\s+([\d.,]*\d)", text[: text.index(table.BEGIN)])
        rows = arithmetic.rows_of(self.capacity)
        known = {table.ratio_text(row.ratio) for row in (*rows, *arithmetic.sums_of(rows))}
        self.assertGreater(len(named), 10)
        self.assertEqual(set(named) - known, set())

    def test_each_mechanism_is_a_module_of_the_tree_or_missing(self):
        for entry in (*self.figures, *self.capacity.state):
            if entry.mechanism != model.MISSING:
                self.assertIsNotNone(importlib.util.find_spec(entry.mechanism), entry)

    def test_each_link_leads_somewhere(self):
        text = PAGE.read_text()
        headings = {
            re.sub(r"[^a-z0-9 -]", "", line.lstrip("# ").lower()).replace(" ", "-")
            for line in text.splitlines()
            if line.startswith("#")
        }
        links = re.findall(r"\]\(([^)]+)\)", text)
        self.assertTrue(any(link.startswith("measured/") for link in links))
        for link in links:
            path, _, anchor = link.partition("#")
            if path:
                self.assertTrue((PAGE.parent / path).exists(), link)
            else:
                self.assertIn(anchor, headings, link)

    def test_each_role_has_figures_state_and_the_six_situations_are_looked_at(self):
        for role in model.ROLES:
            self.assertTrue([one for one in self.capacity.group if one.role == role], role)
        self.assertEqual({one.situation for one in self.capacity.group}, set(model.SITUATIONS))
        self.assertTrue({one.role for one in self.capacity.state}.issuperset(set(model.ROLES)))

    def test_every_size_slope_and_budget_is_used(self):
        formulas = [one.terms for one in (*self.figures, *self.capacity.budget.values())]
        formulas += [one.count for one in self.capacity.state]
        used = {name for terms in formulas for term in terms for name in term.powers}
        used |= {one.bytes_each for one in self.capacity.state}
        self.assertEqual(set(self.capacity.size) - used, set())
        self.assertEqual(set(self.capacity.slope) - used, set())
        self.assertEqual(set(self.capacity.budget) - {one.budget for one in self.capacity.group}, set())

    def test_a_slope_that_says_measured_names_where(self):
        for name, slope in self.capacity.slope.items():
            if slope.kind == "measured":
                self.assertRegex(slope.source, r"\]\((#own-slopes|#slopes-of-the-scale-tests|measured/)", name)

    def test_figures_over_their_budget_say_what_is_missing(self):
        for row in arithmetic.rows_of(self.capacity):
            if row.ratio is not None and row.ratio > 1.0:
                self.assertTrue(row.lacks, row)

    def test_counted_bytes_are_what_is_counted_now(self):
        counted = {
            "list_bytes_per_node": len(json.dumps(samples.LIST_ENTRY)) + 2,
            "route_config_bytes": len(json.dumps(samples.ROUTE)) + 2,
            "tenant_config_bytes": len(json.dumps(samples.TENANT)) + 2,
            "node_row_bytes": measure.encoded_bytes(samples.NODE, "s-12345", NODES),
            "marshal_row_bytes": measure.encoded_bytes(samples.MARSHAL, "m-123", BALANCERS),
            "permit_row_bytes": measure.encoded_bytes(samples.PERMIT, "drain-123456", PERMITS),
            "node_frame_bytes": measure.frame_bytes(samples.NODE, "s-12345", NODES),
            "permit_frame_bytes": measure.frame_bytes(samples.PERMIT, "drain-123456", PERMITS),
        }
        for name, octets in counted.items():
            self.assertEqual(self.capacity.slope[name].value, octets, name)


class ArithmeticTest(unittest.TestCase):
    def test_sums_of_products_ratios_and_what_doubles(self):
        rows = {row.what: row for row in arithmetic.rows_of(small())}
        self.assertEqual(rows["rows"].value, 100 / 4 * 50 + 2 * 50)
        self.assertEqual(rows["rows"].ratio, 1.35)
        self.assertAlmostEqual(rows["rows"].doubled, 2600 / 1350)
        self.assertEqual((rows["squares"].doubled, rows["squares"].ratio), (4.0, None))

    def test_marks_are_the_weakest_of_what_stands_in_a_formula(self):
        rows = {row.what: row.evidence for row in arithmetic.rows_of(small())}
        self.assertEqual(rows, {"rows": "derived", "leases": "measured", "squares": "guessed"})
        guessed = small(SMALL.replace('kind = "measured", source = "s" }\n\n', 'kind = "guessed", source = "s" }\n\n'))
        self.assertEqual({row.what: row.evidence for row in arithmetic.rows_of(guessed)}["leases"], "guessed")

    def test_worst_first_and_those_without_a_budget_last(self):
        self.assertEqual([row.what for row in arithmetic.rows_of(small())], ["rows", "leases", "squares"])
        ratios = [row.ratio for row in arithmetic.rows_of(read.capacity(FILE, read_toml(FILE)))]
        given = [ratio for ratio in ratios if ratio is not None]
        self.assertEqual(ratios, sorted(given, reverse=True) + [None] * (len(ratios) - len(given)))

    def test_sums_by_role_add_up_and_latencies_do_not(self):
        sums = arithmetic.sums_of(arithmetic.rows_of(small()))
        self.assertEqual([(one.value, one.parts, one.ratio) for one in sums][0], (1357.0, 2, 1.357))
        twice = SMALL + SMALL[SMALL.index('[[group]]\nrole = "node agent"') : SMALL.index("[[state]]")]
        worst = [one for one in arithmetic.sums_of(arithmetic.rows_of(small(twice))) if one.resource == "latency"]
        self.assertEqual([(one.value, one.parts) for one in worst], [(30_000.0, 2)])

    def test_another_size_is_one_edit_and_a_division_by_none_has_no_bound(self):
        changed = arithmetic.with_sizes(small(), {"nodes": 200})
        self.assertEqual({row.what: row.value for row in arithmetic.rows_of(changed)}["rows"], 2600.0)
        none = {row.what: row for row in arithmetic.rows_of(arithmetic.with_sizes(small(), {"zones": 0}))}
        self.assertEqual((none["rows"].value, none["rows"].ratio, none["rows"].doubled), (math.inf, math.inf, 1.0))
        self.assertIn("without bound", table.page(arithmetic.with_sizes(small(), {"zones": 0})))
        nothing = arithmetic.rows_of(small(SMALL.replace("[[1_000]]", "[[0]]").replace('["idle_rate"]', "[0]")))
        self.assertEqual({row.what: row.ratio for row in nothing}, {"rows": math.inf, "leases": 0.0, "squares": None})

    def test_state_is_rows_times_bytes(self):
        (state,) = arithmetic.states_of(small())
        self.assertEqual((state.count, state.total_bytes, state.evidence), (100.0, 5000.0, "derived"))

    def test_what_nobody_has_looked_at_shows_as_none(self):
        lines = table.coverage_table(small()).splitlines()
        cells = {line.split(" | ")[0].strip("| "): line.strip("| ").split(" | ")[1:] for line in lines[2:]}
        at = {name: place for place, name in enumerate(model.UNITS)}
        self.assertEqual(cells["marshal control"][at["bytes/s in"]], "1")
        self.assertEqual(cells["marshal control"][at["memory"]], "none")
        self.assertEqual(set(cells["client front"]), {"none"})

    def test_quantities_as_people_read_them(self):
        for value, unit, text in (
            (604e-6, "seconds", "604 us"),
            (0.0, "seconds", "0 s"),
            (1.647, "seconds", "1.65 s"),
            (32e6, "bytes", "32 MB"),
            (4000.0, "bytes/s", "4 kB/s"),
            (0.042, "share", "4.2% of a core"),
            (12000.0, "count", "12,000"),
            (0.234, "1/s", "0.234/s"),
            (math.inf, "bytes", "without bound"),
        ):
            self.assertEqual(table.quantity(value, unit), text)


if __name__ == "__main__":
    unittest.main()
