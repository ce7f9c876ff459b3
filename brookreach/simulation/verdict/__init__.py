"""Drill of canary analysis: rollouts in the model, each balancer wrapped by checkers."""
