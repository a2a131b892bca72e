"""Tests of the lease that makes a host the coordinator of its domain."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.hosts.messages import LeaseRequest, Ledger
from chicoryhold.steering.lease import LEASE_SECONDS, LeaseCandidate, LeaseVoter
from tests.conftest import FakeClock


@settings(max_examples=400)
@given(seed=st.integers(0, 2**32))
def test_domain_never_has_two_coordinators_at_once(seed):
    random = Random(seed)
    clock = FakeClock()
    names = ("h1", "h2", "h3")
    voters = {name: LeaseVoter(clock=clock) for name in names}
    candidates = {
        name: LeaseCandidate(name=name, voters=names, clock=clock) for name in names
    }
    ledger_versions = {name: 0 for name in names}
    in_flight: list = []
    for _ in range(150):
        clock.advance(random.random() * 0.3)
        name = random.choice(names)
        action = random.random()
        if action < 0.4:
            candidate = candidates[name]
            ledger = None
            if candidate.valid:
                ledger_versions[name] += 1
                ledger = Ledger(epoch=candidate.epoch, version=ledger_versions[name])
            request = candidate.start_round(ledger)
            for voter in names:
                in_flight.append(("ask", name, voter, request, None))
        elif action < 0.45:
            voters[name] = LeaseVoter(clock=clock)
        random.shuffle(in_flight)
        for _ in range(random.randrange(6)):
            if in_flight:
                kind, candidate_name, voter, request, reply = in_flight.pop()
                if random.random() < 0.2:
                    continue
                if kind == "ask":
                    reply = voters[voter].on_request(request)
                    in_flight.append(("reply", candidate_name, voter, request, reply))
                else:
                    candidates[candidate_name].on_reply(voter, reply, request)
        assert sum(candidate.valid for candidate in candidates.values()) <= 1


def test_a_voter_says_when_it_grants_votes_again_after_its_start(clock):
    # Guards against a host that is ready while the restart of another replica would
    # leave the domain without a majority.
    voter = LeaseVoter(clock=clock)
    request = LeaseRequest(candidate="h1", epoch=1)
    clock.advance(LEASE_SECONDS - 0.01)
    assert not voter.may_vote
    assert not voter.on_request(request).granted
    clock.advance(0.01)
    assert voter.may_vote
    assert voter.on_request(request).granted
    assert voter.may_vote


def test_epochs_do_not_start_again_when_a_majority_of_voters_has_restarted(clock):
    # Guards against a coordinator whose epoch is below that of the one before it: a
    # later one would restore the older of their ledgers.
    names = ("h1", "h2", "h3")
    voters = {name: LeaseVoter(clock=clock) for name in names}
    clock.advance(LEASE_SECONDS)
    first = LeaseCandidate(name="h1", voters=names, clock=clock)
    for _ in range(2):
        hold_round(first, first.start_round(None), voters, names)
        clock.advance(2 * LEASE_SECONDS)
    assert first.epoch == 2
    voters["h2"] = LeaseVoter(clock=clock)
    voters["h3"] = LeaseVoter(clock=clock)
    hold_round(first, first.start_round(Ledger(epoch=2, version=1)), voters, names)
    clock.advance(2 * LEASE_SECONDS)
    second = LeaseCandidate(name="h3", voters=names, clock=clock)
    while not second.valid:
        hold_round(second, second.start_round(None), voters, ("h2", "h3"))
    assert second.epoch == 3


def hold_round(candidate, request, voters, asked) -> None:
    for name in asked:
        candidate.on_reply(name, voters[name].on_request(request), request)


def test_new_coordinator_sees_the_ledger_that_a_majority_stored(clock):
    names = ("h1", "h2", "h3")
    clock.advance(5)
    voters = {name: LeaseVoter(clock=clock) for name in names}
    clock.advance(5)
    first = LeaseCandidate(name="h1", voters=names, clock=clock)
    request = first.start_round(None)
    for name in names:
        first.on_reply(name, voters[name].on_request(request), request)
    assert first.valid
    saved = first.start_round(Ledger(epoch=1, version=7))
    for name in ("h1", "h2"):
        first.on_reply(name, voters[name].on_request(saved), saved)
    assert first.saved_version == 7
    clock.advance(10)
    second = LeaseCandidate(name="h3", voters=names, clock=clock)
    for _ in range(2):
        request = second.start_round(None)
        for name in ("h2", "h3"):
            second.on_reply(name, voters[name].on_request(request), request)
    assert second.valid
    assert second.newest_ledger() == Ledger(epoch=1, version=7)
