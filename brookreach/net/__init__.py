"""The real marshal's network side: sockets, messages, the one task that owns the module. It never decides."""
