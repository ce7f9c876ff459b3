"""A client of the cluster: its session and lease, its requests, its cache of the tables that it watches.

It owns what one process may do in the cluster by its own clock. It must never take an unknown outcome for a known one.
"""
