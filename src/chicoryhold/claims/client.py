"""Claims a request at the replicas of the domain that its idempotency key names."""

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
VOTE_TIMEOUT_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.05
# The body of a larger answer is not stored; a resend then learns only that the request
# ran.
MAX_STORED_ANSWER_BYTES = 65_536


@attrs.frozen(kw_only=True)
class Claim:
    """One attempt to run a request that may run at most once.

    Each of ``voters`` is a replica's name and its generation from the idempotency key.
    """

    name: ClaimName
    digest: bytes
    attempt: str
    voters: tuple[tuple[str, str], ...]


class ClaimClient:
    """Records, finishes and abandons claims. Thread-safe."""

    def __init__(
        self, *, bus: Bus, clock: Clock, domains: dict[str, tuple[str, ...]]
    ) -> None:
        self._bus = bus
        self._clock = clock
        self._domains = domains

    def create(
        self, *, organisation: str, key: IdempotencyKey, digest: bytes
    ) -> Claim | None:
        """Return a claim for a new attempt.

        Returns ``None`` if the domain that the key names is unknown or has another
        number of replicas.
        """
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
        """Record ``claim``, and return the verdict.

        While another attempt may be running, retries until its answer is stored, its
        claim is freed, or ``deadline`` has passed.
        """
        while True:
            tally = self._vote(claim)
            if tally.verdict is not Verdict.RUNNING:
                return tally
            if self._clock.now() + POLL_INTERVAL_SECONDS > deadline:
                return tally
            # Recorded by a minority of the replicas, this attempt could keep all others
            # from a majority.
            self.abandon(claim)
            time.sleep(POLL_INTERVAL_SECONDS)

    def finish(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store ``answer`` at the replicas, for resends of the request."""
        if answer.body is not None and len(answer.body) > MAX_STORED_ANSWER_BYTES:
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
        """Free ``claim``. The caller ensures that no byte has reached a target."""
        for replica, generation in claim.voters:
            message = AbandonClaim(
                generation=generation, name=claim.name, attempt=claim.attempt
            )
            self._bus.tell(replica, message)

    def _vote(self, claim: Claim) -> Tally:
        count = VoteCount(replicas=len(claim.voters), digest=claim.digest)
        votes: queue.SimpleQueue = queue.SimpleQueue()
        futures = [self._ask(claim, voter, votes) for voter in claim.voters]
        vote_deadline = self._clock.now() + VOTE_TIMEOUT_SECONDS
        for _ in futures:
            count.add(_next_vote(votes, vote_deadline - self._clock.now()))
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
