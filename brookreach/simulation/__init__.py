"""Stand-ins, scripted peers, faults and checkers of the rules; a file a direction.

A drill causes the failures that its direction is meant for, checks the rules after each step, and proves its
checkers on planted defects. It must never be imported by what serves.
"""
