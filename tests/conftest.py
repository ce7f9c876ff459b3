"""How pytest hands the tests out to its workers; `python -m unittest` does not read this file.

The tests of one file run one after another on one worker, since they may share ports and caches. Files whose waits
are short beside the work of real processes and sockets bear the marker `real_time`: `make test` and CI run them after
all others, one after another, so that no test of ours takes their cores.
"""

import pytest

REAL_TIME_MARKER = "real_time"
REAL_TIME_FILES = frozenset(
    {
        "tests/test_mutation_services.py",
        "tests/test_stop_deadline.py",
        "tests/disruption/test_operator_commands.py",
        "tests/disruption/test_processes.py",
        "tests/simulation/test_application_drills.py",
        "tests/simulation/test_balancer_soak.py",
        "tests/simulation/test_standstill_drill.py",
    }
)
# The longest files, longest first: begun last, one of them would keep a single worker busy at the end.
LONG_FILES = (
    "tests/test_scale_control.py",
    "tests/test_known_red.py",
    "tests/test_verdict_commands.py",
    "tests/test_scale_marshal_command.py",
    "tests/simulation/test_world.py",
    "tests/test_scale_marshal.py",
    "tests/carbon_aware/test_application.py",
    "tests/simulation/test_mutation.py",
    "tests/subsetting/test_orders.py",
    "tests/test_mutation_nodes.py",
)


def file_of(item: pytest.Item) -> str:
    """Returns the path of the test's file, relative to the root."""
    return item.nodeid.split("::")[0]


def start_rank(item: pytest.Item) -> int:
    """Returns the place of the test's file in the order of starts; files that are not long keep their order."""
    path = file_of(item)
    return LONG_FILES.index(path) if path in LONG_FILES else len(LONG_FILES)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Sorts the tests by the rank of their file and marks each with its group; the same on every worker."""
    items.sort(key=start_rank)
    for item in items:
        item.add_marker(pytest.mark.xdist_group(file_of(item)))
        if file_of(item) in REAL_TIME_FILES:
            item.add_marker(REAL_TIME_MARKER)
