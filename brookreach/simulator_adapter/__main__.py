"""`python -m brookreach.simulator_adapter`: decisions over the simulator's wire, on standard input and output."""

import sys

from brookreach.simulator_adapter.instances import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
