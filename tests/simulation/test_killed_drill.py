"""A drill that is killed leaves no process of its own behind.

What was seen: a balancer whose drill had been killed ran on and went on asking for lists, at ports that were other drills' by
then; ten seeds of a later run ended by it without a report. Cause: a process ends its children in a `finally`, which SIGKILL
never reaches, and nothing else told them.
"""

import os
import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
STARTED_WITHIN_S, ENDED_WITHIN_S = 60.0, 5.0


def children_of(process_id):
    """All descendants that run, by /proc: each process's parent is the second field behind its name."""
    parents = {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                state, parent = (entry / "stat").read_text().rpartition(")")[2].split()[:2]
            except (FileNotFoundError, ProcessLookupError):
                continue
            if state != "Z":
                parents[int(entry.name)] = int(parent)
    found = {process_id}
    while more := {child for child, parent in parents.items() if parent in found} - found:
        found |= more
    return found - {process_id}


def is_running(process_id):
    try:
        return Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except (FileNotFoundError, ProcessLookupError):
        return False


def commands(process_ids):
    """Their command lines, of those that still run."""
    lines = {}
    for one in process_ids:
        try:
            lines[one] = Path(f"/proc/{one}/cmdline").read_bytes().replace(b"\0", b" ").decode().strip()
        except (FileNotFoundError, ProcessLookupError):
            continue
    return lines


class KilledDrillTest(unittest.TestCase):
    def ends_all(self, *words, balancer):
        drill = subprocess.Popen(
            [sys.executable, "-m", "brookreach", "drill", *words],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        children = set()
        try:
            deadline = time.monotonic() + STARTED_WITHIN_S
            while not any(line.endswith(balancer) for line in commands(children).values()):
                self.assertLess(time.monotonic(), deadline, "no program was started")
                self.assertIsNone(drill.poll(), "the drill has ended")
                time.sleep(0.05)
                children |= children_of(drill.pid)
            drill.kill()
            drill.wait()
            deadline = time.monotonic() + ENDED_WITHIN_S
            while left := {one for one in children if is_running(one)}:
                self.assertLess(time.monotonic(), deadline, commands(left))
                time.sleep(0.05)
        finally:
            drill.kill()
            drill.wait()
            for one in children:
                if is_running(one):
                    os.kill(one, signal.SIGKILL)

    def test_the_balancers_drill(self):
        self.ends_all("balancer", "--seed", "1", "--seeds", "2", balancer="-m brookreach")

    def test_a_drill_between_processes(self):
        self.ends_all("fleet", "--processes", "3", "--seed", "1", "--seeds", "1", balancer="--keeper k1")


if __name__ == "__main__":
    unittest.main()
