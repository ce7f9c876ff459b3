"""A client of the cluster: its session and lease, its requests, and its cache of the tables that it watches.

The package decides what one process may do in the cluster, by that process's own clock. A request whose outcome is
unknown is never reported as applied or rejected. `client.Client` is free of I/O; `connection.ClientConnection` runs it
on sockets, and `one_shot.OneShotClient` serves the commands of operators.
"""
