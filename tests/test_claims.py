"""Requests run at most once under random races, lost messages and restarts."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st
from result import Err, Ok

from chicoryhold.claims.attempt import Verdict, VoteCount
from chicoryhold.claims.keys import idempotency_prefix, parse_idempotency_key
from chicoryhold.claims.replica import (
    GENERATION_SECONDS,
    MAX_GENERATIONS,
    ClaimReplica,
)
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
from tests.conftest import FakeClock

NAME = ClaimName(organisation="org", key="k")
ANSWER = StoredAnswer(status=200, headers=(), body=b"paid")


class Cluster:
    """Three replicas that may restart, and attempts whose messages interleave."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = FakeClock()
        self.replicas = [self.create() for _ in range(3)]
        self.generations = [replica.generation for replica in self.replicas]
        self.runs: Counter[str] = Counter()

    def create(self) -> ClaimReplica:
        names = self.random
        return ClaimReplica(
            clock=self.clock, new_name=lambda: f"{names.getrandbits(48):012x}"
        )

    def attempt(self, name: str, loss: float):
        """Run one attempt; yields between messages, so that attempts interleave."""
        count = VoteCount(replicas=3, digest=b"d")
        order = self.random.sample(range(3), 3)
        for number in order:
            yield
            count.add(self.record(number, name, loss))
            if count.tally().verdict is not Verdict.UNDECIDED:
                break
        yield
        verdict = count.tally().verdict
        if verdict is Verdict.MAY_RUN:
            self.runs["ran"] += 1
            yield
            for number in order:
                self.finish(number, name, loss)
        else:
            for number in order:
                yield
                self.abandon(number, name, loss)

    def record(self, number: int, attempt: str, loss: float):
        if self.random.random() < loss:
            return None
        request = RecordClaim(
            generation=self.generations[number],
            name=NAME,
            digest=b"d",
            attempt=attempt,
        )
        vote = self.replicas[number].record(request)
        return None if self.random.random() < loss else vote

    def finish(self, number: int, attempt: str, loss: float) -> None:
        if self.random.random() >= loss:
            self.replicas[number].finish(
                FinishClaim(
                    generation=self.generations[number],
                    name=NAME,
                    attempt=attempt,
                    answer=ANSWER,
                )
            )

    def abandon(self, number: int, attempt: str, loss: float) -> None:
        if self.random.random() >= loss:
            self.replicas[number].abandon(
                AbandonClaim(
                    generation=self.generations[number], name=NAME, attempt=attempt
                )
            )


@settings(max_examples=2000)
@given(
    seed=st.integers(0, 2**32),
    attempts=st.integers(2, 6),
    loss=st.sampled_from([0.0, 0.2, 0.5]),
    restarts=st.sampled_from([0.0, 0.05, 0.3]),
)
def test_request_runs_at_most_once_with_lost_messages_and_restarts(
    seed, attempts, loss, restarts
):
    cluster = Cluster(seed)
    running = [cluster.attempt(f"attempt {n}", loss) for n in range(attempts)]
    while running:
        if cluster.random.random() < restarts:
            cluster.replicas[cluster.random.randrange(3)] = cluster.create()
        attempt = cluster.random.choice(running)
        if next(attempt, "ended") == "ended":
            running.remove(attempt)
    assert cluster.runs["ran"] <= 1


def test_single_attempt_runs():
    cluster = Cluster(1)
    for _ in cluster.attempt("only", loss=0):
        pass
    assert cluster.runs["ran"] == 1


def test_resend_gets_the_stored_answer():
    cluster = Cluster(1)
    for _ in cluster.attempt("first", loss=0):
        pass
    vote = cluster.record(0, "second", loss=0)
    assert vote == ClaimExists(digest=b"d", answer=ANSWER)


def test_restarted_replica_does_not_vote_on_older_claims():
    cluster = Cluster(1)
    cluster.replicas[0] = cluster.create()
    assert isinstance(cluster.record(0, "late", loss=0), ClaimRejected)


def test_dropped_generation_is_no_longer_voted_on():
    cluster = Cluster(1)
    assert isinstance(cluster.record(0, "first", loss=0), ClaimRecorded)
    for _ in range(MAX_GENERATIONS):
        cluster.clock.advance(GENERATION_SECONDS)
        assert cluster.replicas[0].generation
    assert cluster.replicas[0].claim_count == 0
    assert isinstance(cluster.record(0, "late", loss=0), ClaimRejected)


def test_abandon_frees_a_recorded_claim_but_not_a_finished_one():
    cluster = Cluster(1)
    cluster.record(0, "first", loss=0)
    cluster.abandon(0, "first", loss=0)
    assert isinstance(cluster.record(0, "second", loss=0), ClaimRecorded)
    cluster.finish(0, "second", loss=0)
    cluster.abandon(0, "second", loss=0)
    assert isinstance(cluster.record(0, "third", loss=0), ClaimExists)


def test_key_that_was_used_for_another_request_is_detected():
    count = VoteCount(replicas=3, digest=b"new")
    count.add(ClaimExists(digest=b"old", answer=ANSWER))
    assert count.tally().verdict is Verdict.OTHER_REQUEST


def test_key_names_its_domain_and_invalid_keys_are_refused():
    prefix = idempotency_prefix("north-a", ("0a", "1b", "0"))
    match parse_idempotency_key(f"{prefix}invoice 17"):
        case Ok(_):
            raise AssertionError("a space is not allowed in a header value here")
    match parse_idempotency_key(f"{prefix}invoice-17"):
        case Ok(key):
            assert (key.domain, key.generations) == ("north-a", ("0a", "1b", "0"))
        case Err(message):
            raise AssertionError(message)
    for text in (
        "invoice-17",
        "~x",
        "north-a.~x",
        "north-a.0a~",
        f"{prefix}{'x' * 200}",
    ):
        assert parse_idempotency_key(text).is_err()
