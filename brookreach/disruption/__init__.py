"""Planned disruptions across the fleet: which targets may be unavailable, and how far a release goes.

The package owns disruption budgets, the queue of drains and restarts, permits, halts and agreed releases. It must
never let a planned disruption count before an unplanned outage, end a permit by a time-out alone, or grant or open
anything after a halt.
"""
