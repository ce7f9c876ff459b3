"""The Raft consensus algorithm (Ongaro and Ousterhout 2014; Ongaro's thesis), free of I/O, clocks and tasks.

It owns terms, votes, the log in memory, replication, membership changes and snapshot transfer of one replica.
It must never know what an entry means, nor who asked for it.
"""
