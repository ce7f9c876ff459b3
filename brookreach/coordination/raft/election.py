"""Leader election: pre-votes, votes, election timeouts, and an election that the leader itself asked for.

A node gives one vote a term at most, and none to a candidate whose log is behind its own. While it hears a leader it
neither votes nor raises its term (section 4.2.3 of Ongaro's thesis), unless that leader asked for the election.
Before an election a node asks in a pre-vote whether it could win (section 9.6), so that a node that was cut off does
not disturb the others when it comes back.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import RequestVote, RequestVoteReply, TimeoutNow
from brookreach.coordination.raft.node_state import NodeState, Role
from brookreach.coordination.raft.rejection import Rejection


class Election:
    """The votes given and collected by one node.

    Attributes:
        votes: Those whose vote or pre-vote this node has, in the election that it stands in.
        low_median_wall_ms: Of the wall clocks that came with the votes by which this node became leader.
    """

    def __init__(self, state: NodeState):
        self._state = state
        self.votes: set[str] = set()
        self.low_median_wall_ms = 0
        self._wall_ms_by_voter: dict[str, int] = {}

    def on_election_timeout(self) -> None:
        """Begin a pre-vote: no leader was heard for an election timeout."""
        state = self._state
        state.step_down()
        if state.is_member:
            state.become(Role.PRE_CANDIDATE)
            self._request_votes(state.term + 1, pre_vote=True)

    def campaign(self, *, leadership_transfer: bool = False) -> None:
        """Begin an election in a new term; `leadership_transfer`: the leader asked for it."""
        state = self._state
        state.enter_term(state.term + 1)
        state.vote_for(state.name)
        state.become(Role.CANDIDATE)
        self._request_votes(state.term, leadership_transfer=leadership_transfer)

    def _request_votes(self, term: int, *, pre_vote: bool = False, leadership_transfer: bool = False) -> None:
        state = self._state
        self.votes = {state.name}
        self._wall_ms_by_voter = {state.name: state.wall_ms}
        request = RequestVote(term, state.log.last_index, state.log.last_term, pre_vote, leadership_transfer)
        for peer in state.peers:
            state.send(peer, request)
        self._count_votes()

    def _count_votes(self) -> None:
        state = self._state
        if not state.is_majority(self.votes):
            return
        if state.role == Role.PRE_CANDIDATE:
            self.campaign()
        elif state.role == Role.CANDIDATE:
            state.become(Role.LEADER)
            state.leader = state.name
            clocks = sorted(self._wall_ms_by_voter.values())
            self.low_median_wall_ms = clocks[(len(clocks) - 1) // 2]

    # --- Messages ---

    def on_request_vote(self, source: str, request: RequestVote) -> None:
        """Answer a candidate.

        One that is not a member as far as this node knows may ask, too: the entry that adds it may be further on in
        the log than this node's log ends.
        """
        state = self._state
        if request.last_term >= request.term or (request.last_index == 0) != (request.last_term == 0):
            state.reject(Rejection.IMPLAUSIBLE_LOG)
            return
        granted = self._grants(source, request)
        term = request.term if request.pre_vote and granted else state.term
        state.send(source, RequestVoteReply(term, request.pre_vote, granted, state.wall_ms))

    def _grants(self, source: str, request: RequestVote) -> bool:
        state = self._state
        asked_by_leader = request.leadership_transfer and source in state.members
        if state.has_active_leader() and not asked_by_leader:
            return False
        if request.pre_vote:
            return request.term > state.term and not state.is_ahead_of(request)
        return self._grants_vote(source, request)

    def _grants_vote(self, source: str, request: RequestVote) -> bool:
        state = self._state
        if request.term > state.term:
            state.enter_term(request.term)
        if request.term < state.term or state.voted_for not in ("", source):
            return False
        if state.leader or state.is_ahead_of(request):
            return False
        state.vote_for(source)
        state.step_down()  # and gives the candidate the time to win
        return True

    def on_vote_reply(self, source: str, reply: RequestVoteReply) -> None:
        """Count a vote or pre-vote, or learn of a later term."""
        state = self._state
        if source not in state.members:
            state.reject(Rejection.NOT_A_MEMBER)
            return
        pre_vote_granted = reply.pre_vote and reply.vote_granted
        requested_term = state.term + 1 if pre_vote_granted else state.term
        if reply.term > requested_term:
            if reply.vote_granted:
                state.reject(Rejection.UNSOLICITED_VOTE)
            else:
                state.enter_term(reply.term)
            return
        awaiting = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        if reply.vote_granted and reply.term == requested_term and state.role == awaiting:
            self.votes.add(source)
            self._wall_ms_by_voter[source] = reply.wall_ms
            self._count_votes()

    def on_timeout_now(self, source: str, message: TimeoutNow) -> None:
        """Stand for election at once: the leader hands its leadership over."""
        state = self._state
        if message.term != state.term or source != state.leader or state.role != Role.FOLLOWER:
            state.reject(Rejection.NOT_THE_LEADER)
        elif not state.is_member:
            state.reject(Rejection.NOT_A_MEMBER_HERE)
        else:
            self.campaign(leadership_transfer=True)
