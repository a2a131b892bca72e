"""A replica's part in elections: its own candidacies, and its votes for others."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from chicoryhold.clock import Clock
from chicoryhold.consensus.effects import Effect, SaveVote, Send
from chicoryhold.consensus.election_timer import ElectionTimer, Timing
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Vote, VoteReply, VoteRequest

# Interval, in minimum election timeouts, at which votes are requested again.
REQUEST_INTERVAL_FACTOR = 0.1


class Election:
    """Keeps the term, the vote and the votes received, and sends what they require.

    ``request`` queues an effect; the driver runs effects in order. The role is the
    replica's own: it decides when to campaign, and what follows from a majority.
    """

    def __init__(
        self, *, identity: str, log: Log, vote: Vote, clock: Clock, random: Random,
        timing: Timing, request: Callable[[Effect], None],
    ) -> None:  # fmt: skip
        self._identity = identity
        self._log = log
        self._vote = vote
        self._clock = clock
        self._timing = timing
        self._request = request
        self._votes_received: set[str] = set()
        self._replied: set[str] = set()
        self._yielded_to: set[str] = set()
        self._request_due = float("inf")
        self._is_pre_vote = False
        self._leader_contact_at = float("-inf")
        self._timer = ElectionTimer(timing=timing, clock=clock, random=random)

    @property
    def term(self) -> int:
        return self._vote.term

    @property
    def is_due(self) -> bool:
        """Whether no message of a leader has arrived for the election timeout."""
        return self._timer.is_due(self._clock.now())

    @property
    def is_request_due(self) -> bool:
        """Whether to ask the voters again that haven't replied to the campaign."""
        return self._clock.now() >= self._request_due

    @property
    def is_pre_vote(self) -> bool:
        """Whether the latest campaign is a pre-vote, which elects no leader."""
        return self._is_pre_vote

    @property
    def has_majority(self) -> bool:
        """Whether a majority of the voters has granted the latest campaign."""
        members = self._log.members
        votes = self._votes_received & set(members.voters)
        return len(votes) >= members.majority

    @property
    def has_recent_leader(self) -> bool:
        """Whether a leader sent a message within the minimum election timeout."""
        return self.unheard_seconds < self._timing.election

    @property
    def unheard_seconds(self) -> float:
        """Seconds since a leader's message was last handled; infinite before."""
        return self._clock.now() - self._leader_contact_at

    def reset_timeout(self) -> None:
        """Draw a new election timeout, counted from now."""
        had_contact = self._leader_contact_at > float("-inf")
        self._timer.reset(has_heard_leader=had_contact)

    def record_leader_contact(self) -> None:
        """Note that a message of the leader of this term has arrived."""
        self._leader_contact_at = self._clock.now()
        self._yielded_to.clear()
        self._request_due = float("inf")
        self.reset_timeout()

    def enter_term(self, term: int) -> None:
        """Enter a later term, in which this replica hasn't voted yet."""
        self._save_vote(Vote(term=term))

    def campaign(self, *, pre_vote: bool) -> None:
        """Vote for this replica, and request the votes of all other voters.

        A pre-vote changes neither the term nor the vote.
        """
        self._is_pre_vote = pre_vote
        self._votes_received = {self._identity}
        self._replied = {self._identity}
        if not pre_vote:
            self._save_vote(Vote(term=self.term + 1, candidate=self._identity))
        self.request_votes()

    def request_votes(self) -> None:
        """Ask the voters that haven't replied to the latest campaign.

        Repeated until the next campaign, because a connection to a voter may not be
        open yet, and what is sent before it is open is lost.
        """
        interval = REQUEST_INTERVAL_FACTOR * self._timing.election
        self._request_due = self._clock.now() + interval
        request = VoteRequest(
            term=self.term + 1 if self._is_pre_vote else self.term,
            candidate=self._identity,
            last_index=self._log.last_index,
            last_term=self._log.last_term,
            trial=self._is_pre_vote,
        )
        for voter in self._log.members.voters:
            if voter not in self._replied:
                self._request(Send(to=voter, message=request))

    def yields_to(self, request: VoteRequest) -> bool:
        """Return whether to give up a campaign for a pre-vote that was just granted.

        If replicas that start at once campaign at once, the votes are split. So the one
        that comes later in the order of voters gives up, but only once for each
        other until there is a leader: that one may not receive what is sent to it.
        """
        voters = self._log.members.voters
        if not request.trial or request.candidate in self._yielded_to:
            return False
        if self._identity not in voters or request.candidate not in voters:
            return False
        if voters.index(request.candidate) > voters.index(self._identity):
            return False
        self._yielded_to.add(request.candidate)
        return True

    def record_vote(self, reply: VoteReply) -> bool:
        """Count a vote; return whether it belongs to the latest campaign."""
        if reply.trial != self._is_pre_vote:
            return False
        self._replied.add(reply.voter)
        expected = self.term + 1 if reply.trial else self.term
        if not reply.granted or reply.term != expected:
            return False
        self._votes_received.add(reply.voter)
        return True

    def reply_to(self, request: VoteRequest, *, has_leader: bool) -> bool:
        """Grant or deny a vote, and return whether it was granted.

        ``has_leader`` means that a functioning leader is known; no pre-vote is granted
        then.
        """
        granted = self._would_grant(request, has_leader=has_leader)
        if granted and not request.trial:
            self.reset_timeout()
            self._save_vote(Vote(term=request.term, candidate=request.candidate))
        reply = VoteReply(
            term=request.term if granted else self.term,
            voter=self._identity,
            granted=granted,
            trial=request.trial,
        )
        self._request(Send(to=request.candidate, message=reply))
        return granted

    def _would_grant(self, request: VoteRequest, *, has_leader: bool) -> bool:
        own_last = (self._log.last_term, self._log.last_index)
        if (request.last_term, request.last_index) < own_last:
            return False
        if request.trial:
            return request.term > self.term and not has_leader
        may_vote = self._vote.candidate in (None, request.candidate)
        return request.term == self.term and may_vote

    def _save_vote(self, vote: Vote) -> None:
        self._vote = vote
        self._request(SaveVote(vote=vote))
