"""What the marshals' verdicts on a build promise, and what became of them.

It owns the plan of a wave (thresholds, the effect that can be told apart, expected outcomes, the two error
rates), the records of waves, their replay under other stated rates, and the reading of what operators write
about them. It must never judge by itself: charts and votes are those of
`brookreach.policy.canary_analysis`, which it calls or reads.
"""
