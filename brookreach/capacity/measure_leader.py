"""What one renewal of a lease costs the leader's processor: open, hear, its round with the followers, answer, seal.

Real keepers and sealed frames; no sockets, and disks in memory: a lower bound of what a keeper's process takes.
"""

from __future__ import annotations

import time

from brookreach.capacity.samples import FAR_INDEX, GROUP
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.frames import open_frame, seal_frame
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.timing import Timing
from brookreach.model.keepers_crowd import KEY, Crowd

BATCH = 256  # renewals that a keeper reads before it answers


def renewal_seconds(clients: int, rounds: int) -> float:
    """Processor time of the leader for one renewal: open, hear, answer, seal; with its round to the followers."""
    crowd = Crowd(100, 1, Timing(), 10.0)
    crowd.run(5_000.0, lambda: bool(crowd.leader()))
    for number in range(clients):
        crowd.add(f"s-{number}", "agent")
    crowd.run(60_000.0, lambda: len(crowd.told) == clients)
    name = crowd.leader()
    leader = crowd.keepers[name]
    names = list(crowd.clients)
    spent, renewed = 0.0, 0
    for turn in range(rounds):
        chosen = [names[(turn * BATCH + at) % clients] for at in range(BATCH)]
        frames = [
            seal_frame(KEY, GROUP, one, name, messages.KeepAlive(crowd.clients[one].session, FAR_INDEX + turn))
            for one in chosen
        ]
        began = time.process_time()
        for octets in frames:
            frame = open_frame(KEY, GROUP, name, octets)
            leader.handle_message(crowd.now, crowd.wall(), frame.source, frame.body)
        spent += time.process_time() - began
        taken, answered = confirm(crowd, leader)
        spent += taken
        renewed += answered
    if renewed < BATCH * rounds * 0.9:
        raise RuntimeError(f"{renewed} of {BATCH * rounds} renewals were answered")
    return spent / renewed


def confirm(crowd: Crowd, leader: Replica) -> tuple[float, int]:
    """The leader's round with its followers, until it is quiet: its processor seconds, renewals answered."""
    spent, answered = 0.0, 0
    for _ in range(8):
        began = time.process_time()
        ready = leader.ready()
        for target, body in ready.send:
            seal_frame(KEY, GROUP, leader.name, target, body)
        leader.advance(crowd.now, ready)
        spent += time.process_time() - began
        answered += sum(isinstance(body, messages.KeepAliveReply) for _, body in ready.send)
        for target, body in ready.send:
            follower = crowd.keepers.get(target)
            if follower is None:
                continue
            follower.handle_message(crowd.now, crowd.wall(), leader.name, body)
            reply = follower.ready()
            if reply.save is not None:
                crowd.disks[target].save(reply.save)
            follower.advance(crowd.now, reply)
            began = time.process_time()
            for to, said in reply.send:
                if to == leader.name:
                    leader.handle_message(crowd.now, crowd.wall(), target, said)
            spent += time.process_time() - began
    return spent, answered
