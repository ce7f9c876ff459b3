"""The times of the group as a process is given them; drills inject a defect here."""

from __future__ import annotations

from brookreach.coordination.timing import Timing


def timing_of_process(timing: Timing) -> Timing:
    """Return the times that a replica or client is configured with: those of the group."""
    return timing
