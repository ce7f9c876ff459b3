"""Long jobs of several members that run at once: placed whole, checkpointed, moved off nodes that retire.

It owns where each member is to run, its epochs and its fences. It must never let two incarnations of a member
work at once, count a checkpoint that not every member confirmed, or place on a node that retires or drains.
"""
