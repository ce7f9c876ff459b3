"""What canary analysis promises of a rollout, and what became of it.

The package makes the plan of a rollout (thresholds, detectable effects, expected outcomes, the two error rates),
records rollouts and replays the records at other stated error rates. It never judges a build by itself: charts and
votes are those of `brookreach.policy.canary_analysis`, which it calls or reads.
"""
