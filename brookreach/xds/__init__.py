"""Control plane for proxies of other make: gives them the balancer's decisions by xDS.

The package owns the assignments that a view of the balancer becomes, the server's side of the discovery protocol,
versions, what is stored over a restart, and the use of load reports. It must never route an RPC, judge a build or
change what the balancer decided. A balancer that the platform starts by `run` imports none of it.
"""
