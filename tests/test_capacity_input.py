"""`brookreach capacity`: its options, and files that are refused."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from brookreach.capacity import table
from brookreach.cli.main import main
from brookreach.files import InvalidFileError
from tests.capacity_rig import FILE, SMALL, command, small


class CommandTest(unittest.TestCase):
    def test_json_is_one_object_with_ratios(self):
        told = json.loads(command(str(FILE), "--json").output)
        self.assertEqual(set(told), {"figures"})
        self.assertTrue(all("ratio" in one for one in told["figures"]))

    def test_a_role_alone(self):
        told = json.loads(command(str(FILE), "--json", "--role", "node agent").output)
        self.assertEqual({one["role"] for one in told["figures"]}, {"node agent"})
        self.assertNotIn("keeper", command(str(FILE), "--markdown", "--role", "node agent").output.split("###")[2])

    def test_sizes_on_the_command_line(self):
        twice = json.loads(command(str(FILE), "--json", "--set", "nodes=24000", "--role", "list distribution").output)
        once = json.loads(command(str(FILE), "--json", "--role", "list distribution").output)
        whole = [
            next(one["value"] for one in told["figures"] if one["situation"] == "start of all")
            for told in (once, twice)
        ]
        self.assertAlmostEqual(whole[1], 2 * whole[0])

    def test_bad_words_name_what_is_allowed(self):
        for words, said in (
            (["--role", "king"], "node agent"),
            (["--set", "noodles=3"], "nodes"),
            (["--set", "nodes=many"], "a number from 0"),
            (["--set", "nodes=-1"], "a number from 0"),
            (["--set", "nodes=nan"], "a number from 0"),
            (["--set", "nodes"], "a number from 0"),
            (["--json", "--markdown"], "one of them"),
        ):
            found = command(str(FILE), *words)
            self.assertEqual(found.exit_code, 2, words)
            self.assertIn(said, found.output)

    def test_a_page_is_written_between_its_markers_or_left_as_it_was(self):
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "page.md"
            page.write_text(f"# a\n{table.BEGIN}\nold\n{table.END}\nz\n")
            self.assertEqual(command(str(FILE), "--page", str(page)).exit_code, 0)
            printed = command(str(FILE), "--markdown").output.strip("\n")
            self.assertEqual(page.read_text(), f"# a\n{table.BEGIN}\n\n{printed}\n\n{table.END}\nz\n")
            for text in ("no markers", f"{table.END} {table.BEGIN}", f"{table.BEGIN} {table.BEGIN} {table.END}"):
                page.write_text(text)
                found = command(str(FILE), "--page", str(page))
                self.assertEqual((found.exit_code, page.read_text()), (1, text))
                self.assertIn("one each in this order is needed", found.output)
            self.assertEqual(command(str(FILE), "--page", str(page.with_name("none.md"))).exit_code, 1)

    def test_check_knows_the_file(self):
        found = CliRunner().invoke(main, ["check", str(FILE)])
        self.assertEqual((found.exit_code, found.output.strip()), (0, f"{FILE}: good, sizes and slopes"))


class BadInputTest(unittest.TestCase):
    CASES = (
        ("value = 100,", "value = -100,", "size.nodes.value: -100 stands there; allowed: a number from 0"),
        ("value = 100,", "value = nan,", "size.nodes.value: nan stands there; allowed: a number from 0"),
        ("value = 100,", 'value = "100",', "size.nodes.value: '100' stands there; allowed: a number from 0"),
        ("value = 100,", "valu = 100,", "size.nodes.valu: 100 stands there; allowed: no such key; value, origin"),
        ("value = 100,", "", "size.nodes.value: nothing stands there; a number from 0"),
        ("nodes = {", "Nodes = {", "size.Nodes: 'Nodes' stands there; allowed: a name of a-z"),
        (
            'origin = "stated", grows',
            'origin = "heard", grows',
            "size.nodes.origin: 'heard' stands there; allowed: stated, code",
        ),
        ("grows = true", "grows = 1", "size.nodes.grows: 1 stands there; allowed: true or false"),
        ("[size]", "[sizes]", "sizes: {"),
        (
            'unit = "bytes", kind',
            'unit = "octets", kind',
            "slope.row_bytes.unit: 'octets' stands there; allowed: count, 1/s",
        ),
        (
            'kind = "measured"',
            'kind = "known"',
            "slope.row_bytes.kind: 'known' stands there; allowed: measured, derived",
        ),
        (
            '"/zones"',
            '"/zonez"',
            "group[0].figures[0].terms[0]: 'zonez' stands there; allowed: a size or slope: nodes",
        ),
        (
            '[["idle_rate"]]',
            "[]",
            "group[0].figures[1].terms: [] stands there; allowed: an array of one term or more",
        ),
        (
            '[["idle_rate"]]',
            '["idle_rate"]',
            "group[0].figures[1].terms[0]: 'idle_rate' stands there; allowed: an array of 1 to 12",
        ),
        (
            '[["idle_rate"]]',
            "[[" + "2, " * 13 + "]]",
            "group[0].figures[1].terms[0]: [2, 2, 2,",
        ),
        (
            '[2, "row_bytes"]',
            '[-2, "row_bytes"]',
            "group[0].figures[0].terms[1][0]: -2 stands there; allowed: a number from 0",
        ),
        (
            'role = "node agent"\nresource',
            'role = "king"\nresource',
            "group[1].role: 'king' stands there; allowed: marshal data path",
        ),
        (
            'situation = "ordinary"',
            'situation = "sunday"',
            "group[1].situation: 'sunday' stands there; allowed: ordinary",
        ),
        (
            'mechanism = "brookreach.coordination.server.watches"',
            'mechanism = "soon"',
            "group[0].figures[0].mechanism: 'soon' stands there; allowed: a module",
        ),
        (
            'budget = "rate"',
            'budget = "rates"',
            "group[0].budget: 'rates' stands there; allowed: a budget in bytes/s: rate",
        ),
        (
            'situation = "ordinary"\n',
            'situation = "ordinary"\nbudget = "rate"\n',
            "group[1].budget: 'rate' stands there; allowed: a budget in seconds: there is none",
        ),
        ("figures = [{ what", "figure = [{ what", "group[1].figure: [{'what': 'squares'"),
        ('what = "squares"', 'what = "a | b"', "group[1].figures[0].what: 'a | b' stands there; allowed: a text"),
        ("value = 100,", "value = true,", "size.nodes.value: True stands there; allowed: a number from 0"),
        ("value = 100,", "value = 1e18,", "size.nodes.value: 1e+18 stands there; allowed: a number from 0"),
        ("[[1_000]]", "[[true]]", "budget.rate.terms[0][0]: True stands there; allowed: a number from 0"),
        ('what = "squares"', "what = 3", "group[1].figures[0].what: 3 stands there; allowed: a text"),
        (
            'bytes_each = "row_bytes"',
            'bytes_each = "idle_rate"',
            "state[0].bytes_each: 'idle_rate' stands there; allowed: a slope in bytes: row_bytes",
        ),
        (
            "row_bytes = { value",
            "nodes = { value",
            "slope.nodes: 'nodes' stands there; allowed: a name that is no size's",
        ),
    )

    def test_each_names_file_key_what_stands_there_and_what_is_allowed(self):
        for old, new, said in self.CASES:
            with self.subTest(new=new), tempfile.TemporaryDirectory() as folder:
                self.assertIn(old, SMALL)
                file = Path(folder) / "bad.toml"
                file.write_text(SMALL.replace(old, new, 1))
                found = command(str(file))
                self.assertEqual(found.exit_code, 2, found.output)
                self.assertIn(f"{file}: {said}", found.output)

    def test_all_that_is_wrong_is_told_at_once(self):
        wrong = SMALL.replace("value = 100,", "value = -100,").replace('role = "node agent"', 'role = "king"')
        with self.assertRaises(InvalidFileError) as caught:
            small(wrong)
        self.assertEqual(len(caught.exception.errors), 3)

    def test_no_file_no_toml_no_figures(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "none.toml"
            for octets, said in (
                (None, "can't be read"),
                (b"[", "no TOML"),
                (b"", "group: [] stands there"),
                (b"\xff", "no TOML"),
            ):
                if octets is not None:
                    file.write_bytes(octets)
                found = command(str(file))
                self.assertEqual(found.exit_code, 2)
                self.assertIn(said, found.output)


if __name__ == "__main__":
    unittest.main()
