"""Drill of changed messages: a recorded run is repeated once for each mutation of each kind of message."""
