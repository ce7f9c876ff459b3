"""A small emulator of what marshals balance: clients, nodes with queues, a platform with stages and votes.

It owns virtual time and the chance of one wave. Its marshals are `brookreach.policy.balancer.Balancer`, unchanged.
It must never hold a decision of a marshal, know the users' bench, or touch a socket, a file or a real clock.
"""
