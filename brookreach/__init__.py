"""brookreach: an RPC router that judges new builds while it routes."""
