"""`python -m brookreach.simulator_adapter`: the decisions on the bench's wire, standard input to standard output."""

import sys

from brookreach.simulator_adapter.instances import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
