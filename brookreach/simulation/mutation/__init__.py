"""Mutation of one message at a time: a recorded run is played again for each change of each message."""
