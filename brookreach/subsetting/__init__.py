"""Scope: which services a marshal holds, and of a large service which nodes.

It owns the placement (a pure function of the agreed view), the settled view that placements are made of, and the
state machine by which one marshal goes from one placement to the next. It must never read a clock, open a socket
or draw by chance: times are handed in, and all processes with the same view come to the same placement.
A marshal that `run` starts imports none of this.
"""
