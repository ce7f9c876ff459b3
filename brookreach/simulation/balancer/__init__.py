"""The soak of the balancer: its real process under faults, judged by what clients and nodes saw, never by its log."""
