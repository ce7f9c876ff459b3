"""Carbon-aware scheduling: flexible work runs where and when electricity is cleaner, by operators' schedules.

The package owns the replicated schedule of carbon intensity by zone and the capacity that flexible work reserves
under it. It must never override a disruption budget, drain, cap, cold budget or halt, nor take capacity from work
that is not flexible. Sites are zones.
"""
