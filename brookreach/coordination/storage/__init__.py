"""What lasts of one replica: its vote, its log and its last snapshot, in one SQLite file.

It owns that a save is whole or absent. It must never repair what it can't read.
"""
