"""A node's agent: tasks and the node's own events in; actions on the node, replies and reports out.

It owns the fence at the node. It must never read the replicated tables, nor decide where a member runs.
"""
