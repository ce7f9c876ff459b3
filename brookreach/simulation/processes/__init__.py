"""Drills between real processes of the program on loopback: starting and ending them, ports, a relay with faults.

It owns the processes that it started and ends no other.
"""
