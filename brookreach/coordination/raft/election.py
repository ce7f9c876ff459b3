"""Who leads: pre-votes, votes, time-outs, and a leader that asks another to stand.

It owns the votes collected and every vote given. It must never give two votes in a term, nor any to a keeper
whose log ends before this one's, nor raise the term while a leader is heard, unless that leader asked for it.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import RequestVote, RequestVoteReply, TimeoutNow
from brookreach.coordination.raft.node_state import FOLLOWS, LEADS, STANDS, TRIES, NodeState


class Election:
    """`wall_ms` is the low median of the clocks that came with the votes which made this keeper a leader."""

    def __init__(self, core: NodeState):
        self.core = core
        self.votes: set[str] = set()
        self.walls: dict[str, int] = {}
        self.wall_ms = 0

    def timed_out(self) -> None:
        """No leader was heard for long enough: ask whether standing has a prospect."""
        core = self.core
        core.step_down()
        if core.me in core.seats:
            core.role = TRIES
            self._ask(core.term + 1, pre_vote=True, handed=False)

    def stand(self, handed: bool) -> None:
        core = self.core
        core.rise(core.term + 1)
        core.vote_for(core.me)
        core.role = STANDS
        self._ask(core.term, pre_vote=False, handed=handed)

    def _ask(self, term: int, pre_vote: bool, handed: bool) -> None:
        core = self.core
        self.votes, self.walls = {core.me}, {core.me: core.wall_ms}
        ask = RequestVote(term, core.log.last, core.log.last_term, pre_vote, handed)
        for other in core.others():
            core.say(other, ask)
        self._count()

    def _count(self) -> None:
        core = self.core
        if not core.majority(self.votes):
            return
        if core.role == TRIES:
            self.stand(handed=False)
        elif core.role == STANDS:
            core.role, core.leader = LEADS, core.me
            clocks = sorted(self.walls.values())
            self.wall_ms = clocks[(len(clocks) - 1) // 2]

    def asked(self, source: str, ask: RequestVote) -> None:
        """One without a seat that I know may ask: its seat may stand further on in the log than mine ends."""
        core = self.core
        if ask.last_term >= ask.term or (ask.last_index == 0) != (ask.last_term == 0):
            return core.refuse("a log that can't be")
        handed = ask.leadership_transfer and source in core.seats
        if core.hears_leader() and not handed:
            given = False
        elif ask.pre_vote:
            given = ask.term > core.term and not core.behind(ask)
        else:
            given = self._voted_for(source, ask)
        term = ask.term if ask.pre_vote and given else core.term
        core.say(source, RequestVoteReply(term, ask.pre_vote, given, core.wall_ms))

    def _voted_for(self, source: str, ask: RequestVote) -> bool:
        core = self.core
        if ask.term > core.term:
            core.rise(ask.term)
        if ask.term < core.term or core.vote not in ("", source) or core.leader or core.behind(ask):
            return False
        core.vote_for(source)
        core.step_down()  # it waits for the one it voted for
        return True

    def answered(self, source: str, vote: RequestVoteReply) -> None:
        core = self.core
        if source not in core.seats:
            return core.refuse("not a seat")
        asked = core.term + 1 if vote.pre_vote and vote.vote_granted else core.term
        if vote.term > asked:
            if vote.vote_granted:
                return core.refuse("a vote never asked for")
            return core.rise(vote.term)
        waits = core.role == (TRIES if vote.pre_vote else STANDS)
        if vote.vote_granted and vote.term == asked and waits:
            self.votes.add(source)
            self.walls[source] = vote.wall_ms
            self._count()

    def handed(self, source: str, message: TimeoutNow) -> None:
        core = self.core
        if message.term != core.term or source != core.leader or core.role != FOLLOWS:
            core.refuse("not my leader")
        elif core.me not in core.seats:
            core.refuse("no seat of mine")
        else:
            self.stand(handed=True)
