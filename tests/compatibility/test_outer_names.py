"""Names that leave the process stand where the program reads, writes or prints them, however its code is renamed.

Guards against a renaming that also changes a key of a file, a tag or field of a message, a column, a flag or a logged
text: other processes, stored files and operators' tools then fail, and no test of the renamed code tells.
"""

import ast
import functools
import pathlib
import tempfile
import textwrap
import unittest

from . import standing_texts

ROOT = pathlib.Path(__file__).parents[2]
LIST = pathlib.Path(__file__).with_name("outer_names.txt")


@functools.cache
def texts_of_the_program() -> list[str]:
    return standing_texts.collect(ROOT)


def names_on_the_list() -> list[str]:
    return LIST.read_text("utf-8").split("\n")[:-1]


class OuterNames(unittest.TestCase):
    maxDiff = 4000

    def test_each_name_stands_in_what_is_read_written_or_printed(self):
        self.assertEqual(standing_texts.missing(names_on_the_list(), texts_of_the_program()), [])

    def test_the_list_is_sorted_and_without_duplicates_or_blank_rows(self):
        names = names_on_the_list()
        self.assertEqual(names, sorted(set(names)))
        self.assertEqual([name for name in names if not name or name != name.strip()], [])
        self.assertGreater(len(names), 2000)  # an emptied list would test nothing


class StandingTexts(unittest.TestCase):
    """The collector reports what is gone: `source` and `toml` are a whole program and its configuration."""

    def collect(self, source: str, toml: str = "") -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "brookreach").mkdir()
            (root / "deploy/sites").mkdir(parents=True)
            (root / "brookreach/module.py").write_text(textwrap.dedent(source), "utf-8")
            (root / "deploy/sites/site.toml").write_text(toml, "utf-8")
            return standing_texts.collect(root)

    def missing(self, names: list[str], source: str, toml: str = "") -> list[str]:
        return standing_texts.missing(names, self.collect(source, toml))

    def test_a_name_that_stands_nowhere_is_reported(self):
        texts = texts_of_the_program()
        self.assertEqual(standing_texts.missing(["no-such-name-anywhere", "listen"], texts), ["no-such-name-anywhere"])

    def test_docstrings_comments_and_names_of_code_do_not_count(self):
        source = '''
            """gone"""
            gone = 1  # gone
            __slots__ = ("gone",)
            def gone(value: "gone") -> None:
                "gone"
                getattr(value, "gone")
        '''
        self.assertEqual(self.missing(["gone"], source), ["gone"])

    def test_texts_byte_texts_and_parts_of_f_strings_count(self):
        source = 'print("one", b"two", f"{1} three {2}, four: {3}", "a longer text of five.")'
        self.assertEqual(self.missing(["one", "two", "three", "four", "text of five"], source), [])

    def test_one_word_is_not_found_inside_another_word_or_a_sentence(self):
        source = 'print("late", "look at it", "--wait-ms", "id|zone=5", "asked, given")'
        names = ["at", "wait", "--wait", "ms", "asked", "late", "id", "zone"]
        self.assertEqual(self.missing(names, source), ["at", "wait", "--wait", "ms", "asked"])

    def test_several_words_are_found_in_a_text_as_whole_words(self):
        self.assertEqual(self.missing(["it at", "t ate", "ate two"], 'print("it ate two.")'), ["it at", "t ate"])

    def test_fields_and_tags_of_structs_count_unless_they_are_replaced(self):
        source = """
            class Command(Struct, tag=True): ...
            class Halt(Command): kept: int
            class Begin(Command, tag="Start"): inner: int = msgspec.field(name="outer")
            class Array(Struct, array_like=True): place: int
        """
        names = ["Halt", "kept", "Start", "outer", "Begin", "inner", "Array", "place"]
        self.assertEqual(self.missing(names, source), ["Begin", "inner", "Array", "place"])

    def test_fields_of_rows_count_because_they_are_printed(self):
        source = """
            class Row(Struct, array_like=True): ...
            class PermitRow(Row): granted: int
        """
        self.assertEqual(self.missing(["granted"], source), [])

    def test_members_and_values_of_enumerations_count(self):
        source = """
            class Ending(IntEnum): OK = 0
            class State(StrEnum): DOWN = "down"
        """
        self.assertEqual(self.missing(["OK", "DOWN", "down", "UP"], source), ["UP"])

    def test_fields_of_other_classes_do_not_count(self):
        self.assertEqual(self.missing(["field"], "class Plain: field: int"), ["field"])

    def test_keys_and_values_of_configuration_files_count(self):
        toml = '[part]\nkey = "value"\n[[part.list]]\ninner = 1\n'
        self.assertEqual(self.missing(["part", "key", "value", "list", "inner", "other"], "", toml), ["other"])

    def test_classes_that_are_written_by_their_fields_names_are_there(self):
        for path in standing_texts.WRITTEN_MODULES:
            self.assertTrue((ROOT / path).exists(), path)
        for path, name in standing_texts.WRITTEN_CLASSES:
            _, classes = standing_texts.read_module(ast.parse((ROOT / path).read_text("utf-8")))
            self.assertIn(name, [node.name for node in classes], path)


if __name__ == "__main__":
    unittest.main()
