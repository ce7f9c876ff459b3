"""Runs the tests for CI, and passes over just those failures that KNOWN-RED.txt names.

`.ci/known_red.py [PATTERN]` runs by pytest, side by side, what `python -m unittest discover -s tests -t .` runs one
after another; a test that only one of both finds fails the run. A line of the file at the root is a test,
`test id | cause | issue`, or a run that CI does not repeat, `$ command | seed | what was seen | issue`. Both are
printed. It exits 1 where any other test fails, where a listed one passes or is skipped (its line must be taken off),
and 2 where the file itself is wrong. No file: none is listed.
"""

from __future__ import annotations

import contextlib
import sys
import unittest
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
FILE = "KNOWN-RED.txt"
LONGEST_LINE = 400  # characters: the list is kept short, the rest is told in the issue
TEST_FORM = "test id | cause | issue"
COMMAND_SIGN = "$ "
COMMAND_FORM = f"{COMMAND_SIGN}command | seed | what was seen | issue"
# First what runs side by side, then alone what tests/conftest.py marks as `real_time`.
PHASES = (("-m", "not real_time"), ("-m", "real_time", "-n", "0"))
ALLOWED_CODES = (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED, pytest.ExitCode.NO_TESTS_COLLECTED)


class BadListError(Exception):
    """A line of the file, or the file as a whole, that isn't allowed."""


@dataclass(frozen=True)
class KnownRed:
    """One test that fails for a known fault: its id as unittest gives it, the cause, and the issue to mend it."""

    test: str
    cause: str
    issue: str


@dataclass(frozen=True)
class KnownCommand:
    """A run that shows a known fault and that CI does not repeat: its command, seed, what was seen, the issue."""

    command: str
    seed: str
    seen: str
    issue: str


@dataclass(frozen=True)
class KnownFaults:
    """The whole file."""

    tests: list[KnownRed] = field(default_factory=list)
    commands: list[KnownCommand] = field(default_factory=list)


@dataclass
class Outcome:
    """What a run means. `passed_over` failed as listed; `mended` are listed and did not fail."""

    passed_over: list[KnownRed] = field(default_factory=list)
    mended: list[KnownRed] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    ran: int = 0
    passed: int = 0
    subtests: int = 0

    @property
    def good(self) -> bool:
        """Whether CI passes."""
        return bool(self.ran) and not self.mended and not self.failed

    @property
    def closing(self) -> str:
        """The last line of the output; what is passed over has failed too."""
        failed = len(self.failed) + len(self.passed_over)
        return f"{self.ran} tests, {self.subtests} subtests: {self.passed} passed, {failed} failed"


class Recorder:
    """A plugin of pytest that notes what became of each test, by its id as unittest gives it."""

    def __init__(self) -> None:
        self.ran: Counter[str] = Counter()
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.broken: set[str] = set()  # a class, a module or a worker
        self.subtests = 0

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note one phase of a test."""
        test = unittest_id(report.nodeid)
        if report.when == "setup":
            self.ran[test] += 1
        if isinstance(report, pytest.SubtestReport):
            self.subtests += 1
        elif report.when == "call" and report.passed:
            self.passed.add(test)
        if report.failed and report.when == "call":
            self.failed.add(test)
        elif report.failed:
            self.broken.add(_broken(report.when, test))


def unittest_id(node: str) -> str:
    """The id that unittest gives to a test of pytest; xdist puts `@group` behind its own."""
    path, *names = node.rpartition("@")[0].split("::") if "@" in node else node.split("::")
    return ".".join([*Path(path).with_suffix("").parts, *names])


def _broken(when: str, test: str) -> str:
    """What failed outside a test: setUp and tearDown of a test belong to its call, those of its class do not."""
    of_class = {"setup": "setUpClass", "teardown": "tearDownClass"}.get(when)
    return f"{of_class} ({test.rpartition('.')[0]})" if of_class else f"worker crashed in {test}"


def read(text: str) -> KnownFaults:
    """The file's lines; raises BadListError. Empty lines don't count."""
    known, there = KnownFaults(), set[tuple[str, ...]]()
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        if len(line) > LONGEST_LINE:
            raise BadListError(f"line {number}: {len(line)} characters; {LONGEST_LINE} at most are allowed")
        one = _entry(number, line.strip())
        name = (one.test,) if isinstance(one, KnownRed) else (one.command, one.seed)
        if name in there:
            raise BadListError(f"line {number}: {' | '.join(name)} stands there twice; one line each is allowed")
        there.add(name)
        if isinstance(one, KnownRed):
            known.tests.append(one)
        else:
            known.commands.append(one)
    return known


def _entry(number: int, line: str) -> KnownRed | KnownCommand:
    is_command = line.startswith(COMMAND_SIGN)
    form = COMMAND_FORM if is_command else TEST_FORM
    parts = [part.strip() for part in line.removeprefix(COMMAND_SIGN).split("|")]
    if len(parts) != form.count("|") + 1 or not all(parts):
        raise BadListError(f"line {number}: {line!r} stands there; `{form}` is allowed")
    if not is_command:
        return KnownRed(*parts)
    if not parts[1].isdigit():
        raise BadListError(f"line {number}: seed {parts[1]!r} stands there; a whole number is allowed")
    return KnownCommand(*parts)


def tests_of(suite: Iterable[unittest.TestCase | unittest.TestSuite]) -> Iterator[unittest.TestCase]:
    """Every single test of a suite."""
    for one in suite:
        if isinstance(one, unittest.TestSuite):
            yield from tests_of(one)
        else:
            yield one


def check_names(known: Sequence[KnownRed], ids: Iterable[str]) -> None:
    """Raises BadListError for a listed test that does not exist."""
    there = set(ids)
    for one in known:
        if one.test not in there:
            raise BadListError(f"{one.test}: no such test; an id as `python -m unittest -v` prints it is allowed")


def judge(known: Sequence[KnownRed], there: Iterable[str], run: Recorder, code: int) -> Outcome:
    """Sorts what failed into listed and not. Part of a failed test (subTest) is the test; a class or module is not.

    `there` are the ids that unittest finds: each must have run, and no other. `code` is pytest's exit code.
    """
    listed = {one.test for one in known}
    failed = (run.failed - listed) | run.broken | _differences(Counter(there), run.ran)
    if code not in ALLOWED_CODES or (code == pytest.ExitCode.TESTS_FAILED and not failed | run.failed):
        failed.add(f"pytest, exit code {int(code)}")
    return Outcome(
        passed_over=[one for one in known if one.test in run.failed],
        mended=[one for one in known if one.test not in run.failed],
        failed=sorted(failed),
        ran=run.ran.total(),
        passed=len(run.passed - run.failed),
        subtests=run.subtests,
    )


def _differences(there: Counter[str], ran: Counter[str]) -> set[str]:
    """Tests that unittest finds and that did not run, such as a module that can't be imported; and the reverse."""
    return set(there - ran) | {f"{one}: not found by unittest" for one in ran - there}


def told_of_commands(commands: Sequence[KnownCommand]) -> Iterator[str]:
    """What CI prints of the runs that it does not repeat."""
    for one in commands:
        yield f"known red, not run here: {one.command} | {one.seed} | {one.seen} | {one.issue}"


def told(outcome: Outcome) -> Iterator[str]:
    """What CI prints of it, one line each."""
    for one in outcome.passed_over:
        yield f"known red, passed over: {one.test} | {one.cause} | {one.issue}"
    for one in outcome.mended:
        yield f"{FILE} lists {one.test}, which did not fail: take its line off"
    for name in outcome.failed:
        yield f"failed: {name}"
    if not outcome.ran and not outcome.failed:
        yield "no test ran"


def run_tests(root: Path, pattern: str | None) -> tuple[Recorder, int]:
    """Runs the tests by the settings in pyproject.toml; what pytest prints goes to stderr.

    Returns what became of them, and the worst exit code of the phases: a phase may have no tests of its own.
    """
    paths = [root / "tests"] if pattern is None else sorted((root / "tests").rglob(pattern))
    recorder = Recorder()
    codes = []
    for phase in PHASES:
        with contextlib.redirect_stdout(sys.stderr):
            codes.append(pytest.main(["-q", f"--rootdir={root}", *phase, *map(str, paths)], plugins=[recorder]))
    unusual = [code for code in codes if code not in ALLOWED_CODES]
    return recorder, next(iter(unusual), pytest.ExitCode.TESTS_FAILED if pytest.ExitCode.TESTS_FAILED in codes else 0)


def main(arguments: Sequence[str], root: Path = ROOT) -> int:
    """Run the tests that match a pattern, or all; the exit code."""
    pattern = arguments[0] if arguments else None
    path = root / FILE
    suite = unittest.defaultTestLoader.discover(str(root / "tests"), pattern or "test*.py", str(root))
    there = [one.id() for one in tests_of(suite)]
    try:
        known = read(path.read_text()) if path.exists() else KnownFaults()
        check_names(known.tests, there)
    except BadListError as error:
        print(f"{FILE}: {error}", file=sys.stderr)
        return 2
    outcome = judge(known.tests, there, *run_tests(root, pattern))
    for line in [*told_of_commands(known.commands), *told(outcome), outcome.closing]:
        print(line, flush=True)
    return 0 if outcome.good else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
