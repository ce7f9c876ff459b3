"""One replica of the cluster: Raft and the state machine joined, its clients, its sockets and its process.

It owns the order save, send, apply, and who may be answered. It must never decide for an application.
"""
