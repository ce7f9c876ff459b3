"""The defects that can be planted into a balancer's process, by name; `shim/planted_defects.py` holds the code."""

from __future__ import annotations

DEFECTS = {
    "stop-by-longest-limit": "the drain deadline is taken from the longest time limit, whatever the kill counts",
    "stop-not-shortened": "requests that are open at the stop keep their own time, and nothing answers them at its end",
    "accept-never-resumed": "after an error of accept the listener is never looked at again",
    "closes-what-was-read": "while it stops, a request with more time than is left is read and its connection closed",
    "full-house-closes": "a connection that finds no room is closed with no answer",
    "false-refusal": "an unsafe request is refused as harmless whatever ran",
    "unsafe-retry": "an unsafe request gets a further attempt after one that may have run",
    "pause-is-proof": "after a pause the next answer on a connection is taken for the next query's",
    "goes-on-after-leave": "the decisions never hear that a client has left",
}
"""By the name that users type after `--plant`: what is wrong then."""
