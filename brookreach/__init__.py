"""brookreach: an RPC router with canary analysis of new builds."""
