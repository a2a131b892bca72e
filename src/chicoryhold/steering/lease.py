"""The lease that makes one entry host the coordinator of its failure domain."""

from __future__ import annotations

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import LeaseReply, LeaseRequest, Ledger

LEASE_SECONDS = 1.5
LEASE_MARGIN_SECONDS = 0.15
RENEW_INTERVAL = 0.3


class LeaseVoter:
    """A domain replica's vote: at most one candidate has it until a given time.

    Votes are kept in memory, so after a start none is given until any vote given
    before the start has run out.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._started = clock.now()
        self._candidate = ""
        self._epoch = 0
        self._until = self._started + LEASE_SECONDS
        self._ledger = Ledger()

    @property
    def coordinator(self) -> str:
        """The candidate that holds the vote now, or an empty text."""
        return self._candidate if self._clock.now() < self._until else ""

    @property
    def epoch(self) -> int:
        return self._epoch

    def on_request(self, request: LeaseRequest) -> LeaseReply:
        """Give, renew or refuse the vote."""
        now = self._clock.now()
        granted = self._may_grant(request, now)
        if granted:
            self._candidate = request.candidate
            self._epoch = request.epoch
            self._until = now + LEASE_SECONDS
            if request.ledger is not None:
                self._keep(request.ledger)
        return LeaseReply(
            granted=granted,
            epoch=self._epoch,
            uptime=now - self._started,
            ledger=self._ledger,
        )

    def _may_grant(self, request: LeaseRequest, now: float) -> bool:
        if request.candidate == self._candidate and request.epoch == self._epoch:
            return now < self._until or request.ledger is not None
        return now >= self._until and request.epoch > self._epoch

    def _keep(self, ledger: Ledger) -> None:
        newer = (ledger.epoch, ledger.version)
        if newer >= (self._ledger.epoch, self._ledger.version):
            self._ledger = ledger


@attrs.frozen(kw_only=True)
class _Round:
    """One set of requests to all voters."""

    sent_at: float
    request: LeaseRequest | None


class LeaseCandidate:
    """Collects votes; valid from a majority until the lease ends on the own clock."""

    def __init__(self, *, name: str, voters: tuple[str, ...], clock: Clock) -> None:
        self._name = name
        self._voters = voters
        self._clock = clock
        self._epoch = 0
        self._highest_epoch = 0
        self._valid_until = float("-inf")
        self._round = _Round(sent_at=float("-inf"), request=None)
        self._granted: dict[str, LeaseReply] = {}
        self._saved_version = 0

    @property
    def epoch(self) -> int:
        return self._epoch

    @property
    def valid(self) -> bool:
        return self._clock.now() < self._valid_until

    @property
    def saved_version(self) -> int:
        """The newest version of the ledger that a majority has kept."""
        return self._saved_version

    @property
    def majority(self) -> int:
        return len(self._voters) // 2 + 1

    def start_round(self, ledger: Ledger | None) -> LeaseRequest:
        """Return the request to send to every voter now.

        With a ``ledger`` it renews the lease that is held; without, it asks for a new
        one.
        """
        if ledger is None:
            self._epoch = self._highest_epoch + 1
            self._saved_version = 0
        request = LeaseRequest(candidate=self._name, epoch=self._epoch, ledger=ledger)
        self._round = _Round(sent_at=self._clock.now(), request=request)
        self._granted = {}
        return request

    def on_reply(self, voter: str, reply: LeaseReply, request: LeaseRequest) -> bool:
        """Count a reply; returns whether it made the round's majority.

        A reply to an earlier round is no proof for this one, even with the same
        content: the lease would be counted from a later time than it was given.
        """
        self._highest_epoch = max(self._highest_epoch, reply.epoch)
        if not reply.granted or request is not self._round.request:
            return False
        self._granted[voter] = reply
        if len(self._granted) != self.majority:
            return False
        lease = LEASE_SECONDS - LEASE_MARGIN_SECONDS
        self._valid_until = self._round.sent_at + lease
        if request.ledger is not None:
            self._saved_version = max(self._saved_version, request.ledger.version)
        return self.valid

    def newest_ledger(self) -> Ledger:
        """Return the newest ledger among the votes of this round."""
        ledgers = [reply.ledger for reply in self._granted.values()]
        return max(ledgers, key=lambda ledger: (ledger.epoch, ledger.version))

    def votes_up_for(self, seconds: float) -> int:
        """Return how many votes came from replicas that run at least this long."""
        return sum(reply.uptime >= seconds for reply in self._granted.values())
