"""The network side of a balancer: sockets, messages, and the task that runs the balancer. It decides nothing."""
