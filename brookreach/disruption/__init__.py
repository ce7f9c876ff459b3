"""Who may be out, and how far a release goes, agreed across the fleet.

It owns the budgets, the queue of drains and restarts, permits, halts and agreed releases. It must never let a
planned outage count before an unplanned one, end a permit by a time-out alone, or open anything after a halt.
"""
