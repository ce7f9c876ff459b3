"""Subsetting: which services a balancer holds, and of a large service which endpoints.

The package owns the placement (a pure function of the agreed view of the fleet), the hold-down that views pass
through, and the handover by which one balancer goes from one placement to the next. It never reads a clock, opens a
socket or draws random numbers: times are handed in, and all processes with the same view come to the same placement.
A balancer that `run` starts imports none of this.
"""
