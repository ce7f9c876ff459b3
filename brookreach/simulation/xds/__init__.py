"""Simulation of control via xDS: scripted proxies, a fleet and the server on virtual time, and a drill by seed."""
