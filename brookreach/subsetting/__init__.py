"""Subsetting: which services each balancer holds, and which endpoints of a large service.

The package computes the placement (a pure function of the replicated view of the fleet), applies the hold-down to
membership changes before they enter the view, and runs the handover by which a balancer moves from one placement to
the next. It never reads a clock, opens a socket or draws random numbers: callers pass the time in, and all processes
with the same view compute the same placement. A balancer started by `run` imports none of this package.
"""
