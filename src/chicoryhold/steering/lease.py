"""The lease that makes one entry host the coordinator of its failure domain."""

from __future__ import annotations

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import LeaseReply, LeaseRequest, Ledger

LEASE_SECONDS = 1.5
LEASE_MARGIN_SECONDS = 0.15
RENEW_INTERVAL_SECONDS = 0.3


class LeaseVoter:
    """A domain replica's vote, held by at most one candidate until it expires.

    Votes are kept in memory only, so after a start the voter grants none until any
    vote that it granted before the start has expired.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._candidate = ""
        self._epoch = 0
        self._highest_epoch_seen = 0
        self._vote_expires_at = self._started_at + LEASE_SECONDS
        self._votes_from = self._vote_expires_at
        self._ledger = Ledger()

    @property
    def may_vote(self) -> bool:
        """Whether the wait after the start is over."""
        return self._clock.now() >= self._votes_from

    @property
    def coordinator(self) -> str:
        """The candidate that holds the vote now, or an empty string."""
        return self._candidate if self._clock.now() < self._vote_expires_at else ""

    @property
    def epoch(self) -> int:
        """The epoch of the vote that was granted last."""
        return self._epoch

    def on_request(self, request: LeaseRequest) -> LeaseReply:
        """Grant, renew or refuse the vote."""
        now = self._clock.now()
        self._highest_epoch_seen = max(self._highest_epoch_seen, request.epoch)
        granted = self._may_grant(request, now)
        if granted:
            self._candidate = request.candidate
            self._epoch = request.epoch
            self._vote_expires_at = now + LEASE_SECONDS
            if request.ledger is not None:
                self._store_ledger(request.ledger)
        return LeaseReply(
            granted=granted,
            epoch=self._highest_epoch_seen,
            uptime=now - self._started_at,
            ledger=self._ledger,
        )

    def _may_grant(self, request: LeaseRequest, now: float) -> bool:
        if request.candidate == self._candidate and request.epoch == self._epoch:
            return now < self._vote_expires_at or request.ledger is not None
        if now < self._vote_expires_at or request.epoch <= self._epoch:
            return False
        # A renewal may be of a lease that was won while this voter was not voting.
        is_renewal = request.ledger is not None
        return is_renewal or request.epoch >= self._highest_epoch_seen

    def _store_ledger(self, ledger: Ledger) -> None:
        version_key = (ledger.epoch, ledger.version)
        if version_key >= (self._ledger.epoch, self._ledger.version):
            self._ledger = ledger


@attrs.frozen(kw_only=True)
class _Round:
    """One request, sent to all voters at ``sent_at``."""

    sent_at: float
    request: LeaseRequest | None


class LeaseCandidate:
    """Collects votes for one candidate.

    The lease is valid from a majority of votes until it expires on the candidate's
    own clock.
    """

    def __init__(self, *, name: str, voters: tuple[str, ...], clock: Clock) -> None:
        self._name = name
        self._voters = voters
        self._clock = clock
        self._epoch = 0
        self._highest_epoch = 0
        self._valid_until = float("-inf")
        self._round = _Round(sent_at=float("-inf"), request=None)
        self._granted_replies: dict[str, LeaseReply] = {}
        self._saved_version = 0

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def valid(self) -> bool:
        return self._clock.now() < self._valid_until

    @property
    def saved_version(self) -> int:
        """The newest version of the ledger that a majority has stored."""
        return self._saved_version

    @property
    def majority(self) -> int:
        return len(self._voters) // 2 + 1

    def start_round(self, ledger: Ledger | None) -> LeaseRequest:
        """Return the request to send to every voter now.

        With a ``ledger`` the request renews the current lease; without, it asks for a
        new one.
        """
        if ledger is None:
            self._epoch = self._highest_epoch + 1
            self._saved_version = 0
        request = LeaseRequest(candidate=self._name, epoch=self._epoch, ledger=ledger)
        self._round = _Round(sent_at=self._clock.now(), request=request)
        self._granted_replies = {}
        return request

    def on_reply(self, voter: str, reply: LeaseReply, request: LeaseRequest) -> bool:
        """Count a reply; returns whether it completed a majority in time.

        A reply to an earlier round doesn't count, even if it has the same content: its
        vote was granted earlier, so a lease measured from the start of this round could
        outlast the vote.
        """
        self._highest_epoch = max(self._highest_epoch, reply.epoch)
        if not reply.granted or request is not self._round.request:
            return False
        self._granted_replies[voter] = reply
        if len(self._granted_replies) != self.majority:
            return False
        lease = LEASE_SECONDS - LEASE_MARGIN_SECONDS
        self._valid_until = self._round.sent_at + lease
        if request.ledger is not None:
            self._saved_version = max(self._saved_version, request.ledger.version)
        return self.valid

    def newest_ledger(self) -> Ledger:
        """Return the newest ledger among the votes of this round."""
        ledgers = [reply.ledger for reply in self._granted_replies.values()]
        return max(ledgers, key=lambda ledger: (ledger.epoch, ledger.version))

    def count_votes_with_uptime(self, seconds: float) -> int:
        """Return how many votes came from replicas up for at least ``seconds``."""
        return sum(reply.uptime >= seconds for reply in self._granted_replies.values())
