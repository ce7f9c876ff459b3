"""What replicas and clients say to each other: the messages, their bounds, authenticated frames, byte streams.

Modules: `fields` (types with bounds), `raft_messages` and `client_messages` (gathered in `messages`), `frames`,
`stream`, `inbox`, `limits`, `tags`. Nothing here decides what a message does.
"""
