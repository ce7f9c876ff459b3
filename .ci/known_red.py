"""Runs the tests for CI, and passes over just those failures that KNOWN-RED.txt names.

`.ci/known_red.py [PATTERN]` runs what `python -m unittest discover -s tests -t .` does. Each line of the file at
the root is `test id | cause | issue`, three lines at most. It exits 1 where any other test fails, where a listed
one passes or is skipped (its line must be taken off), and 2 where the file itself is wrong. No file: none is listed.
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FILE = "KNOWN-RED.txt"
MOST_LINES = 3
FORM = "test id | cause | issue"


class BadList(Exception):
    """A line of the file, or the file as a whole, that isn't allowed."""


@dataclass(frozen=True)
class KnownRed:
    """One test that fails for a known fault: its id as unittest gives it, the cause, and the issue to mend it."""

    test: str
    cause: str
    issue: str


@dataclass
class Outcome:
    """What a run means. `passed_over` failed as listed; `mended` are listed and did not fail."""

    passed_over: list[KnownRed] = field(default_factory=list)
    mended: list[KnownRed] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    ran: int = 0

    @property
    def good(self) -> bool:
        return bool(self.ran) and not self.mended and not self.failed


def read(text: str) -> list[KnownRed]:
    """The file's lines; raises BadList. Empty lines don't count."""
    known: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"line {number}: {line.strip()!r} stands there; `{FORM}` is allowed")
        if any(one.test == parts[0] for one in known):
            raise BadList(f"line {number}: {parts[0]} stands there twice; one line each is allowed")
        known.append(KnownRed(*parts))
    if len(known) > MOST_LINES:
        raise BadList(f"{len(known)} tests are listed; {MOST_LINES} at most are allowed")
    return known


def tests_of(suite: Iterable[unittest.TestCase | unittest.TestSuite]) -> Iterator[unittest.TestCase]:
    """Every single test of a suite."""
    for one in suite:
        if isinstance(one, unittest.TestSuite):
            yield from tests_of(one)
        else:
            yield one


def check_names(known: Sequence[KnownRed], ids: Iterable[str]) -> None:
    """Raises BadList for a listed test that does not exist."""
    there = set(ids)
    for one in known:
        if one.test not in there:
            raise BadList(f"{one.test}: no such test; an id as `python -m unittest -v` prints it is allowed")


def judge(known: Sequence[KnownRed], result: unittest.TestResult) -> Outcome:
    """Sorts what failed into listed and not. Part of a failed test (subTest) is the test; a class or module is not."""
    pairs = [*result.failures, *result.errors]
    failed = {_id(one) for one, _ in pairs} | {_id(one) for one in result.unexpectedSuccesses}
    listed = {one.test for one in known}
    return Outcome(
        passed_over=[one for one in known if one.test in failed],
        mended=[one for one in known if one.test not in failed],
        failed=sorted(failed - listed),
        ran=result.testsRun,
    )


def _id(test: unittest.TestCase) -> str:
    """Of a subTest's failure the id of its test."""
    whole = getattr(test, "test_case", test)
    return str(whole.id())


def told(outcome: Outcome) -> Iterator[str]:
    """What CI prints of it, one line each."""
    for one in outcome.passed_over:
        yield f"known red, passed over: {one.test} | {one.cause} | {one.issue}"
    for one in outcome.mended:
        yield f"{FILE} lists {one.test}, which did not fail: take its line off"
    for name in outcome.failed:
        yield f"failed: {name}"
    if not outcome.ran:
        yield "no test ran"


def main(arguments: Sequence[str], root: Path = ROOT) -> int:
    pattern = arguments[0] if arguments else "test*.py"
    path = root / FILE
    suite = unittest.defaultTestLoader.discover(str(root / "tests"), pattern, str(root))
    try:
        known = read(path.read_text()) if path.exists() else []
        check_names(known, (one.id() for one in tests_of(suite)))
    except BadList as error:
        print(f"{FILE}: {error}", file=sys.stderr)
        return 2
    runner = unittest.TextTestRunner(stream=sys.stderr, warnings=None if sys.warnoptions else "default")
    outcome = judge(known, runner.run(suite))
    for line in told(outcome):
        print(line, flush=True)
    return 0 if outcome.good else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
