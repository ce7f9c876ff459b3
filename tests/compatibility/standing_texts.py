"""Collects what the program reads, writes or prints: texts, encoded fields, tags, members, TOML keys and values.

Only syntax is read; nothing is imported. Not collected: docstrings, comments, annotations that are texts, texts that
name attributes of the code (`__slots__`, `__all__`, getattr and its like, type variables), and fields of structs that
are encoded as arrays and printed nowhere.
"""

import ast
import pathlib
import re
import tomllib
from collections.abc import Iterable, Iterator

# Dataclasses whose objects are stored or printed by the names of their fields: all of a module, or one class of it.
# msgspec writes settings and events into `.waves` files; the others are printed by `--json`.
WRITTEN_MODULES = (
    "brookreach/balancer_settings.py",
    "brookreach/capacity/arithmetic.py",
    "brookreach/verdict/plan_records.py",
    "brookreach/verdict/replay.py",
)
WRITTEN_CLASSES = (
    ("brookreach/events.py", "NodeEntry"),
    ("brookreach/events.py", "RolloutStatus"),
    ("brookreach/events.py", "OutcomeCounts"),
    ("brookreach/model/world.py", "Outcome"),
    ("brookreach/simulation/report.py", "Violation"),
)
# Rows are stored as arrays, but `fleet show` prints them by the names of their fields.
ROW = "Row"

NAMES_OF_CODE = ("__slots__", "__all__", "__match_args__")
BODIES_WITH_DOCSTRING = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
MAY_HIDE_TEXTS = (*BODIES_WITH_DOCSTRING, ast.Assign, ast.AnnAssign, ast.arg, ast.Call)
WITHOUT_TEXTS = (ast.Name, ast.Load, ast.Store, ast.Del, ast.alias, ast.Pass)
CALLS_THAT_NAME_CODE = ("getattr", "setattr", "hasattr", "delattr", "attrgetter", "TypeVar", "ParamSpec", "cast")


def called(node: ast.AST) -> str:
    """Returns the last part of the name of a class or function."""
    if isinstance(node, ast.Call | ast.Subscript):
        return called(node.func if isinstance(node, ast.Call) else node.value)
    return node.attr if isinstance(node, ast.Attribute) else node.id if isinstance(node, ast.Name) else ""


def read_modules(root: pathlib.Path) -> dict[str, ast.Module]:
    paths = sorted((root / "brookreach").rglob("*.py"))
    return {path.relative_to(root).as_posix(): ast.parse(path.read_text("utf-8")) for path in paths}


class ClassTable:
    """All classes of the program by name, with what they inherit."""

    def __init__(self, classes: Iterable[ast.ClassDef]) -> None:
        self.classes: dict[str, list[ast.ClassDef]] = {}
        for node in classes:
            self.classes.setdefault(node.name, []).append(node)

    def lineage(self, node: ast.ClassDef, seen: tuple[str, ...] = ()) -> Iterator[ast.ClassDef]:
        yield node
        for base in map(called, node.bases):
            if base not in seen:
                for ancestor in self.classes.get(base, []):
                    yield from self.lineage(ancestor, (*seen, base))

    def inherits(self, node: ast.ClassDef, suffixes: tuple[str, ...]) -> bool:
        return any(called(base).endswith(suffixes) for each in self.lineage(node) for base in each.bases)

    def has_keyword(self, node: ast.ClassDef, name: str) -> bool:
        """Whether the class or one that it inherits sets this option of structs to True."""
        keywords = [keyword for each in self.lineage(node) for keyword in each.keywords]
        return any(each.arg == name and getattr(each.value, "value", None) is True for each in keywords)

    def implied_tag(self, node: ast.ClassDef) -> list[str]:
        """Returns the class's name where it is the tag: `tag=True`, and no text in its place."""
        told = any(
            keyword.arg == "tag" and getattr(keyword.value, "value", None) is not True for keyword in node.keywords
        )
        return [node.name] if self.has_keyword(node, "tag") and not told else []

    def names_of_class(self, node: ast.ClassDef, is_written: bool) -> list[str]:
        """Returns the names that an encoder writes for objects of the class, or that logs print for an enumeration."""
        if self.inherits(node, ("Enum", "Flag")):
            assigned = [target for each in node.body if isinstance(each, ast.Assign) for target in each.targets]
            return [target.id for target in assigned if isinstance(target, ast.Name)]
        if is_written:
            return fields_of(node)
        if not self.inherits(node, ("Struct",)):
            return []
        is_nameless = self.has_keyword(node, "array_like") and not self.inherits(node, (ROW,))
        return self.implied_tag(node) + ([] if is_nameless else fields_of(node))


def fields_of(node: ast.ClassDef) -> list[str]:
    fields = [each for each in node.body if isinstance(each, ast.AnnAssign)]
    return [each.target.id for each in fields if isinstance(each.target, ast.Name) and not is_renamed(each.value)]


def is_renamed(value: ast.expr | None) -> bool:
    return isinstance(value, ast.Call) and any(keyword.arg == "name" for keyword in value.keywords)


def texts_of_code(node: ast.AST) -> list[ast.AST]:
    """Returns the nodes below this one whose texts never leave the process: docstrings and names of attributes."""
    kind = type(node)
    if kind in BODIES_WITH_DOCSTRING:
        return [each for each in node.body if is_bare_text(each)]  # type: ignore[attr-defined]
    if isinstance(node, ast.Assign):
        return [node.value] if any(called(target) in NAMES_OF_CODE for target in node.targets) else []
    if isinstance(node, ast.AnnAssign):
        values = [node.value] if node.value and called(node.target) in NAMES_OF_CODE else []
        return [node.annotation, *values] if isinstance(node.annotation, ast.Constant) else list(values)
    if isinstance(node, ast.arg) and isinstance(node.annotation, ast.Constant):
        return [node.annotation]
    if isinstance(node, ast.Call) and called(node) in CALLS_THAT_NAME_CODE:
        return list(node.args)
    return []


def is_bare_text(node: ast.stmt) -> bool:
    return isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)


def read_module(module: ast.Module) -> tuple[set[str], list[ast.ClassDef]]:
    """Returns the module's texts and byte texts, parts of f-strings among them, and its classes."""
    found: set[str] = set()
    classes: list[ast.ClassDef] = []
    waiting: list[ast.AST] = [module]
    hidden: set[int] = set()
    while waiting:
        node = waiting.pop()
        if type(node) in WITHOUT_TEXTS or id(node) in hidden:
            continue
        if isinstance(node, ast.Constant):
            found.update(text_of_constant(node.value))
            continue
        if isinstance(node, ast.ClassDef):
            classes.append(node)
        if type(node) in MAY_HIDE_TEXTS:
            hidden.update(map(id, texts_of_code(node)))
        waiting.extend(ast.iter_child_nodes(node))
    return found, classes


def text_of_constant(value: object) -> list[str]:
    if isinstance(value, bytes):
        return [value.decode("latin-1")]
    return [value] if isinstance(value, str) else []


def texts_of_toml(value: object) -> Iterator[str]:
    if isinstance(value, dict):
        for key, below in value.items():
            yield key
            yield from texts_of_toml(below)
    elif isinstance(value, list):
        for below in value:
            yield from texts_of_toml(below)
    elif isinstance(value, str):
        yield value


def collect(root: pathlib.Path) -> list[str]:
    """Returns all texts of a source tree that can leave the process, each once."""
    found: set[str] = set()
    classes: list[tuple[str, ast.ClassDef]] = []
    for path, module in read_modules(root).items():
        texts, below = read_module(module)
        found.update(texts)
        classes.extend((path, node) for node in below)
    table = ClassTable(node for _, node in classes)
    for path, node in classes:
        is_written = path in WRITTEN_MODULES or (path, node.name) in WRITTEN_CLASSES
        found.update(table.names_of_class(node, is_written))
    for toml in sorted((root / "deploy").glob("*.toml")) + sorted((root / "deploy/sites").glob("*.toml")):
        found.update(texts_of_toml(tomllib.loads(toml.read_text("utf-8"))))
    return sorted(found)


def missing(names: list[str], texts: list[str]) -> list[str]:
    """Returns the names that stand nowhere.

    A name of one word has to stand alone: a text, or a part of one between marks other than spaces and commas, as in
    "a|b" or "a.b: ". A word of a sentence is not enough, since most words of keys and tags are in some sentence too. All
    other names may be a part of a text, of whole words. A hyphen joins words to one.
    """
    alone = {segment.strip(" ,;'") for text in texts for segment in re.split(r"[^\w ,;'-]", text)}
    joined = "\0".join(texts)
    return [name for name in names if not (name in alone if is_one_word(name) else stands(name, joined))]


def is_one_word(name: str) -> bool:
    return re.fullmatch(r"[\w-]+", name) is not None


def stands(name: str, joined: str) -> bool:
    start = joined.find(name)
    while start >= 0:
        end = start + len(name)
        before = joined[start - 1 : start] if is_word(name[0]) else ""
        after = joined[end : end + 1] if is_word(name[-1]) else ""
        if not is_word(before) and not is_word(after):
            return True
        start = joined.find(name, start + 1)
    return False


def is_word(character: str) -> bool:
    return re.fullmatch(r"[\w-]", character) is not None
