"""One replica of a failure domain's claims: records at most one attempt per request.

Claims are held in memory, grouped by generation. Each generation has a new random
name, also the first one after a restart. An idempotency key names the generations
that were current when its prefix was issued. A replica votes only on claims of
generations that it still holds, so after a restart it can't vote a second time on a
claim that it has lost.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import (
    AbandonClaim,
    ClaimExists,
    ClaimName,
    ClaimRecorded,
    ClaimRejected,
    FinishClaim,
    RecordClaim,
    StoredAnswer,
)

GENERATION_SECONDS = 600.0
# An idempotency key stays usable for at least six more generations, so for one hour.
MAX_GENERATIONS = 7
MAX_CLAIMS_PER_GENERATION = 20_000
MAX_ANSWER_BYTES_PER_GENERATION = 2_000_000


@attrs.define(kw_only=True)
class _RecordedClaim:
    digest: bytes
    attempt: str
    answer: StoredAnswer | None = None


@attrs.define(kw_only=True)
class _Generation:
    name: str
    started_at: float
    claims: dict[ClaimName, _RecordedClaim] = attrs.field(factory=dict)
    answer_bytes: int = 0


class ClaimReplica:
    """Votes on claims. ``new_name`` returns a new random name for a generation."""

    def __init__(self, *, clock: Clock, new_name: Callable[[], str]) -> None:
        self._clock = clock
        self._new_name = new_name
        self._generations: dict[str, _Generation] = {}
        self._start_generation()

    @property
    def generation(self) -> str:
        """The name of the current generation, for new idempotency keys.

        Starts a new generation if the current one is too old.
        """
        newest = list(self._generations.values())[-1]
        if self._clock.now() - newest.started_at >= GENERATION_SECONDS:
            newest = self._start_generation()
        return newest.name

    @property
    def claim_count(self) -> int:
        return sum(len(g.claims) for g in self._generations.values())

    def record(
        self, request: RecordClaim
    ) -> ClaimRecorded | ClaimExists | ClaimRejected:
        """Record the claim unless another attempt holds it."""
        generation = self._generations.get(request.generation)
        if generation is None:
            return ClaimRejected(reason="the generation is not held here")
        claim = generation.claims.get(request.name)
        if claim is None:
            return self._record_new(generation, request)
        if claim.attempt == request.attempt:
            return ClaimRecorded()
        return ClaimExists(digest=claim.digest, answer=claim.answer)

    def finish(self, request: FinishClaim) -> None:
        """Store the answer of the attempt that ran."""
        generation = self._generations.get(request.generation)
        if generation is None:
            return
        claim = generation.claims.get(request.name)
        if claim is None or claim.attempt != request.attempt:
            return
        claim.answer = self._limit_size(generation, request.answer)

    def abandon(self, request: AbandonClaim) -> None:
        """Free the claim of an attempt that never ran."""
        generation = self._generations.get(request.generation)
        if generation is None:
            return
        claim = generation.claims.get(request.name)
        if claim and claim.attempt == request.attempt and claim.answer is None:
            del generation.claims[request.name]

    def _record_new(
        self, generation: _Generation, request: RecordClaim
    ) -> ClaimRecorded | ClaimRejected:
        if len(generation.claims) >= MAX_CLAIMS_PER_GENERATION:
            return ClaimRejected(reason="too many claims are held here")
        claim = _RecordedClaim(digest=request.digest, attempt=request.attempt)
        generation.claims[request.name] = claim
        return ClaimRecorded()

    def _limit_size(
        self, generation: _Generation, answer: StoredAnswer
    ) -> StoredAnswer:
        """Return ``answer``, without its body if the generation has no room for it."""
        size = len(answer.body or b"")
        if generation.answer_bytes + size > MAX_ANSWER_BYTES_PER_GENERATION:
            return attrs.evolve(answer, body=None)
        generation.answer_bytes += size
        return answer

    def _start_generation(self) -> _Generation:
        generation = _Generation(name=self._new_name(), started_at=self._clock.now())
        self._generations[generation.name] = generation
        while len(self._generations) > MAX_GENERATIONS:
            del self._generations[next(iter(self._generations))]
        return generation
