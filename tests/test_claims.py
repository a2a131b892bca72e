"""Requests that may run once: random races, losses and restarts."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st
from result import Err, Ok

from chicoryhold.claims.attempt import Verdict, VoteCount
from chicoryhold.claims.keys import idempotency_prefix, parse_idempotency_key
from chicoryhold.claims.replica import (
    GENERATION_SECONDS,
    GENERATIONS_KEPT,
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


class Home:
    """Three replicas that restart, and attempts whose messages interleave."""

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
        """Yield between messages, so that attempts can interleave in any order."""
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
def test_request_runs_at_most_once_whatever_is_lost_or_restarted(
    seed, attempts, loss, restarts
):
    home = Home(seed)
    running = [home.attempt(f"attempt {n}", loss) for n in range(attempts)]
    while running:
        if home.random.random() < restarts:
            home.replicas[home.random.randrange(3)] = home.create()
        attempt = home.random.choice(running)
        if next(attempt, "ended") == "ended":
            running.remove(attempt)
    assert home.runs["ran"] <= 1


def test_single_attempt_runs():
    home = Home(1)
    for _ in home.attempt("only", loss=0):
        pass
    assert home.runs["ran"] == 1


def test_resend_gets_the_kept_answer():
    home = Home(1)
    for _ in home.attempt("first", loss=0):
        pass
    vote = home.record(0, "second", loss=0)
    assert vote == ClaimExists(digest=b"d", answer=ANSWER)


def test_restarted_replica_does_not_vote_on_older_claims():
    home = Home(1)
    home.replicas[0] = home.create()
    assert isinstance(home.record(0, "late", loss=0), ClaimRejected)


def test_generation_is_forgotten_whole_and_then_not_voted_on():
    home = Home(1)
    assert isinstance(home.record(0, "first", loss=0), ClaimRecorded)
    for _ in range(GENERATIONS_KEPT):
        home.clock.advance(GENERATION_SECONDS)
        assert home.replicas[0].generation
    assert home.replicas[0].claim_count == 0
    assert isinstance(home.record(0, "late", loss=0), ClaimRejected)


def test_abandoned_claim_is_free_again_and_a_finished_one_never_is():
    home = Home(1)
    home.record(0, "first", loss=0)
    home.abandon(0, "first", loss=0)
    assert isinstance(home.record(0, "second", loss=0), ClaimRecorded)
    home.finish(0, "second", loss=0)
    home.abandon(0, "second", loss=0)
    assert isinstance(home.record(0, "third", loss=0), ClaimExists)


def test_key_used_for_another_request_is_told_apart():
    count = VoteCount(replicas=3, digest=b"new")
    count.add(ClaimExists(digest=b"old", answer=ANSWER))
    assert count.tally().verdict is Verdict.OTHER_REQUEST


def test_key_names_its_home_and_anything_else_is_refused():
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
