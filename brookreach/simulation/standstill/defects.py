"""The defects that the standstill drill can plant, by name; `balancer/shim/planted_defects.py` holds the code."""

from __future__ import annotations

DEFECTS = {
    "requests-before-ends": "what a connection has sent is read before its end, at its turn",
    "requests-before-news": "requests that have come are decided on before a list of nodes that was read before them",
    "age-of-reading": "what is found after a standstill counts from then",
    "last-read-state": "the state of a rollout that is read last holds",
    "late-discovery": "after a call to the service for lists has failed, the next one comes late",
    "stop-of-reading": "a stop counts from when its signal is handled",
}
"""By the name that users type after `--plant`: what is wrong then."""
