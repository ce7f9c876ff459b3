"""The command line: one click group, a file for each family of commands.

It reads words and files, calls the packages, prints. Parts are imported where a command uses them, so that
one that lacks an optional library says which. It must never decide anything nor hold a figure of a decision.
"""
