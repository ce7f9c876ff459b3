"""Who leads: trial votes, votes, time-outs, and a leader that asks another to stand.

It owns the votes collected and every vote given. It must never give two votes in a term, nor any to a keeper
whose log ends before this one's, nor raise the term while a leader is heard, unless that leader asked for it.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import RequestVote, RequestVoteReply, TimeoutNow
from brookreach.coordination.raft.node_state import FOLLOWS, LEADS, STANDS, TRIES, NodeState


class Election:
    """`wall_ms` is the low median of the clocks that came with the votes which made this keeper a leader."""

    def __init__(self, state: NodeState):
        self.state = state
        self.votes: set[str] = set()
        self.walls: dict[str, int] = {}
        self.wall_ms = 0

    def timed_out(self) -> None:
        """No leader was heard for long enough: ask whether standing has a prospect."""
        state = self.state
        state.step_down()
        if state.me in state.members:
            state.role = TRIES
            self._ask(state.term + 1, pre_vote=True, handed=False)

    def stand(self, handed: bool) -> None:
        state = self.state
        state.rise(state.term + 1)
        state.vote_for(state.me)
        state.role = STANDS
        self._ask(state.term, pre_vote=False, handed=handed)

    def _ask(self, term: int, pre_vote: bool, handed: bool) -> None:
        state = self.state
        self.votes, self.walls = {state.me}, {state.me: state.wall_ms}
        ask = RequestVote(term, state.log.last, state.log.last_term, pre_vote, handed)
        for other in state.others():
            state.say(other, ask)
        self._count()

    def _count(self) -> None:
        state = self.state
        if not state.majority(self.votes):
            return
        if state.role == TRIES:
            self.stand(handed=False)
        elif state.role == STANDS:
            state.role, state.leader = LEADS, state.me
            clocks = sorted(self.walls.values())
            self.wall_ms = clocks[(len(clocks) - 1) // 2]

    def asked(self, source: str, ask: RequestVote) -> None:
        """One without a seat that I know may ask: its seat may stand further on in the log than mine ends."""
        state = self.state
        if ask.last_term >= ask.term or (ask.last_index == 0) != (ask.last_term == 0):
            return state.refuse("a log that can't be")
        handed = ask.leadership_transfer and source in state.members
        if state.hears_leader() and not handed:
            given = False
        elif ask.pre_vote:
            given = ask.term > state.term and not state.behind(ask)
        else:
            given = self._voted_for(source, ask)
        term = ask.term if ask.pre_vote and given else state.term
        state.say(source, RequestVoteReply(term, ask.pre_vote, given, state.wall_ms))

    def _voted_for(self, source: str, ask: RequestVote) -> bool:
        state = self.state
        if ask.term > state.term:
            state.rise(ask.term)
        if ask.term < state.term or state.voted_for not in ("", source) or state.leader or state.behind(ask):
            return False
        state.vote_for(source)
        state.step_down()  # it waits for the one it voted for
        return True

    def answered(self, source: str, vote: RequestVoteReply) -> None:
        state = self.state
        if source not in state.members:
            return state.refuse("not a seat")
        asked = state.term + 1 if vote.pre_vote and vote.vote_granted else state.term
        if vote.term > asked:
            if vote.vote_granted:
                return state.refuse("a vote never asked for")
            return state.rise(vote.term)
        waits = state.role == (TRIES if vote.pre_vote else STANDS)
        if vote.vote_granted and vote.term == asked and waits:
            self.votes.add(source)
            self.walls[source] = vote.wall_ms
            self._count()

    def handed(self, source: str, message: TimeoutNow) -> None:
        state = self.state
        if message.term != state.term or source != state.leader or state.role != FOLLOWS:
            state.refuse("not my leader")
        elif state.me not in state.members:
            state.refuse("no seat of mine")
        else:
            self.stand(handed=True)
