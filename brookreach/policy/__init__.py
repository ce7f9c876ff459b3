"""The policy of a balancer: it chooses nodes for RPCs and decides, with the other balancers, about a candidate build.

It owns every decision and every figure behind one. It must never do I/O, read a clock or start a task: time and events
come in as arguments, and actions go out as values.
"""
