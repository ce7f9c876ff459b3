"""What is said between processes: the one table of messages, their bounds, and authenticated frames.

It owns the bytes. It must never act on a message.
"""
