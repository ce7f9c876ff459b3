"""What tests share, under one name: the harness of one balancer and the deployment of the network side."""

from brookreach.simulation.stand_ins import into

from .balancer_harness import (
    IDEM,
    KEPT,
    ONCE,
    READS,
    TOKEN,
    BalancerHarness,
    TraceCase,
    balancer_settings,
    describe,
    method,
    node,
)
from .simulated_deployment import RecordedLog, SimulatedDeployment, run_story, until
from .simulated_deployment_settings import NEWS, REPLIES, SETTINGS, US

__all__ = [
    "IDEM",
    "KEPT",
    "NEWS",
    "ONCE",
    "READS",
    "REPLIES",
    "SETTINGS",
    "TOKEN",
    "US",
    "BalancerHarness",
    "RecordedLog",
    "SimulatedDeployment",
    "TraceCase",
    "balancer_settings",
    "describe",
    "into",
    "method",
    "node",
    "run_story",
    "until",
]
