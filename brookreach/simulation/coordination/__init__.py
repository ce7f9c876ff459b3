"""Drills of the coordination service: its clients' scripts, the invariants that are checked, defects to inject."""
