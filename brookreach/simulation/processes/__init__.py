"""Real processes of the program on loopback: start and end, ports, and the relay that injects network faults.

It owns the processes that it started and ends no other.
"""
