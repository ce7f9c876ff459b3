"""How pytest hands the tests out to its workers; `python -m unittest` does not read this file.

The tests of one file run one after another on one worker, since they may share ports and caches. Files whose waits
are short beside the work of real processes and sockets share one worker, so that they never run beside each other.
"""

import pytest

REAL_TIME_GROUP = "real_time"
REAL_TIME_FILES = frozenset({"test_mutation_services", "test_fleet_processes", "test_pieces_processes"})
# The longest files, longest first: begun last, one of them would keep a single worker busy at the end.
LONG_FILES = (
    *sorted(REAL_TIME_FILES),
    "test_scale_control",
    "test_verdict_commands",
    "test_scale_marshal_command",
    "test_world",
    "test_scale_marshal",
    "test_power",
    "test_mutation",
    "test_mutation_nodes",
    "test_fleet_asks",
    "test_known_red",
)


def group_of(item: pytest.Item) -> str:
    """The group of a test: its file, or the one group of the files that must not run beside each other."""
    if item.path.stem in REAL_TIME_FILES:
        return REAL_TIME_GROUP
    return item.nodeid.split("::")[0]


def rank_of(stem: str) -> int:
    """The place of a test file in the order of starts; files that are not long keep their order."""
    return LONG_FILES.index(stem) if stem in LONG_FILES else len(LONG_FILES)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Sorts the tests by the rank of their file and marks each with its group; the same on every worker."""
    items.sort(key=lambda item: rank_of(item.path.stem))
    for item in items:
        item.add_marker(pytest.mark.xdist_group(group_of(item)))
