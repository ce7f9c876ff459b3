"""The Raft consensus algorithm (Ongaro and Ousterhout 2014; Ongaro's thesis), free of I/O, clocks and tasks.

It owns terms, votes, the log in memory, replication, membership changes and snapshot transfer of one replica.
It must never know what an entry means, nor who asked for it.

`node.RaftNode` is the interface. Everything else is a part of it: `election` (votes), `follower` (the log of a
follower), `replication` (the log of a leader), over the state that these share in `node_state`.
"""
