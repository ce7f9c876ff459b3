"""Ends a child process with its parent, whatever ends that: who is killed ends no child itself. Linux only."""

from __future__ import annotations

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # linux/prctl.h
_PRCTL = ctypes.CDLL(None, use_errno=True).prctl

ENDING_WITH_PARENT = ("setpriv", "--pdeathsig", "KILL")
"""What stands before a child's command; it becomes the command, with the same process id."""


def end_with_parent(parent: int) -> None:
    """Let the kernel kill this process when the thread that started it ends.

    Args:
        parent: The process id of the parent; where that has ended already, this process ends now.

    Raises:
        OSError: The kernel refuses.
    """
    if _PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        raise OSError(ctypes.get_errno(), "prctl(PR_SET_PDEATHSIG)")
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)
