"""Carbon-aware scheduling: flexible work runs in zones and at times with cleaner electricity.

Operators upload the schedules of carbon intensity.

The package owns the replicated schedule of carbon intensity per zone and the capacity that flexible work reserves
under it. It must never override a disruption budget, drain, cap, cold budget or halt, nor take capacity from work
that is not flexible. A site is represented as a zone.
"""
