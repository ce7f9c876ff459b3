"""`python -m brookreach.benchlink`: the decisions on the bench's wire, standard input to standard output."""

import sys

from brookreach.benchlink.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
