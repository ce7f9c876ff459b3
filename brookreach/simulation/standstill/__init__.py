"""The drill of a balancer's process that stands still while input waits for it from two sides."""
