"""The balancer as a process: `python -m brookreach`.

It reads the environment and the configuration, builds the runtime and runs it to its end.
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__" and len(sys.argv) < 2:
    # A SIGHUP during the imports would end the process. The configuration that it announces is read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc
import os
from collections.abc import Callable
from pathlib import Path

import anyio

from brookreach.configuration import StartupError, read_configuration
from brookreach.net.background_service import BackgroundService
from brookreach.net.report import LineWriterFactory
from brookreach.net.runtime import STOP_SIGNALS, BalancerRuntime, early_hangups


def block_signals() -> None:
    """Block further signals: once nothing is owed any more, they must not change how the process exits."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {*STOP_SIGNALS, signal.SIGHUP})


def serve(
    lines: LineWriterFactory | None = None,
    record: Path | None = None,
    make_service: Callable[[BalancerRuntime], BackgroundService] | None = None,
) -> int:
    """Run one balancer to its end, and return the exit code.

    Args:
        lines: By the balancer's name, what writes its log; plain text on standard error if None.
        record: Where the verdicts on its last builds are kept, if anywhere.
        make_service: Makes a service that runs beside the balancer's own tasks.
    """
    signal.signal(signal.SIGHUP, lambda number, _frame: early_hangups.append(number))
    try:
        runtime = BalancerRuntime(read_configuration(os.environ), lines)
        if record is not None:
            from brookreach.verdict.record_writer import record_balancer

            record_writer = record_balancer(runtime, record)
        if make_service is not None:
            runtime.background_services.append(make_service(runtime))
        runtime.before_exit = block_signals
        gc.freeze()  # what is allocated now stays: collections need not visit it
        gc.set_threshold(runtime.limits.gc_threshold)
        anyio.run(runtime.run)
        if record is not None:
            record_writer.save()
    except StartupError as error:
        print(f"brookreach: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the balancer, as the platform starts it, or with arguments the command line."""
    if len(sys.argv) < 2:
        return serve()
    from brookreach.cli.main import main as commands

    commands(prog_name="brookreach")
    return 0


if __name__ == "__main__":
    sys.exit(main())
