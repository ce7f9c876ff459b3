"""Simulation of the xDS control plane: proxies, a fleet and the server on virtual time, and a drill by seed."""
