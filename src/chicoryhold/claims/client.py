"""Claims requests at the replicas of their home domain, from any entry host."""

from __future__ import annotations

import queue
import time
from collections.abc import Sequence
from uuid import uuid4

import attrs

from chicoryhold.claims.attempt import Tally, Verdict, VoteCount
from chicoryhold.claims.keys import IdempotencyKey
from chicoryhold.clock import Clock
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.messages import (
    AbandonClaim,
    ClaimName,
    FinishClaim,
    RecordClaim,
    StoredAnswer,
)

REPLICAS_PER_DOMAIN = 3
VOTE_TIMEOUT = 0.5
POLL = 0.05
LARGEST_KEPT_ANSWER = 65_536


@attrs.frozen(kw_only=True)
class Claim:
    """A request that may run once, and the attempt that wants to run it."""

    name: ClaimName
    digest: bytes
    attempt: str
    voters: tuple[tuple[str, str], ...]


class ClaimClient:
    """Records, finishes and abandons claims. Safe to use from many threads."""

    def __init__(
        self, *, bus: Bus, clock: Clock, domains: dict[str, tuple[str, ...]]
    ) -> None:
        self._bus = bus
        self._clock = clock
        self._domains = domains

    def create(
        self, *, organisation: str, key: IdempotencyKey, digest: bytes
    ) -> Claim | None:
        """Return a claim for a new attempt, or ``None`` if the home is unknown."""
        replicas = self._domains.get(key.domain, ())[:REPLICAS_PER_DOMAIN]
        if not replicas or len(replicas) != len(key.generations):
            return None
        return Claim(
            name=ClaimName(organisation=organisation, key=key.text),
            digest=digest,
            attempt=uuid4().hex,
            voters=tuple(zip(replicas, key.generations, strict=True)),
        )

    def acquire(self, claim: Claim, *, deadline: float) -> Tally:
        """Record ``claim``; waits for another attempt's answer until ``deadline``."""
        while True:
            tally = self._vote(claim)
            if tally.verdict is not Verdict.RUNNING:
                return tally
            if self._clock.now() + POLL > deadline:
                return tally
            # A minority record of this attempt could block every other attempt.
            self.abandon(claim)
            time.sleep(POLL)

    def finish(self, claim: Claim, answer: StoredAnswer) -> None:
        """Keep ``answer`` for resends."""
        if answer.body is not None and len(answer.body) > LARGEST_KEPT_ANSWER:
            answer = attrs.evolve(answer, body=None)
        for replica, generation in claim.voters:
            message = FinishClaim(
                generation=generation,
                name=claim.name,
                attempt=claim.attempt,
                answer=answer,
            )
            self._bus.tell(replica, message)

    def abandon(self, claim: Claim) -> None:
        """Free ``claim``, of which no byte reached a target."""
        for replica, generation in claim.voters:
            message = AbandonClaim(
                generation=generation, name=claim.name, attempt=claim.attempt
            )
            self._bus.tell(replica, message)

    def _vote(self, claim: Claim) -> Tally:
        count = VoteCount(replicas=len(claim.voters), digest=claim.digest)
        votes: queue.SimpleQueue = queue.SimpleQueue()
        futures = [self._ask(claim, voter, votes) for voter in claim.voters]
        until = self._clock.now() + VOTE_TIMEOUT
        for _ in futures:
            count.add(_next_vote(votes, until - self._clock.now()))
            if count.tally().verdict is not Verdict.UNDECIDED:
                break
        for future in futures:
            self._bus.forget(future)
        return count.tally()

    def _ask(
        self, claim: Claim, voter: Sequence[str], votes: queue.SimpleQueue
    ) -> object:
        replica, generation = voter
        message = RecordClaim(
            generation=generation,
            name=claim.name,
            digest=claim.digest,
            attempt=claim.attempt,
        )
        future = self._bus.ask(replica, message)
        future.add_done_callback(lambda done: votes.put(done.result()))
        return future


def _next_vote(votes: queue.SimpleQueue, timeout: float) -> object | None:
    try:
        return votes.get(timeout=max(0.0, timeout))
    except queue.Empty:
        return None
