"""Targets, slots, the lease, shifts, fair queueing and client blocks."""

from __future__ import annotations

import ipaddress
from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    Announcement,
    HeldSlots,
    Hello,
    Ledger,
    NotAdmitted,
    Release,
)
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.state.changes import StartShift
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.client_blocks import ClientBlocks, parse_block
from chicoryhold.steering.coordinator import AnswerRequest, Coordinator
from chicoryhold.steering.fair_queue import FairQueue
from chicoryhold.steering.lease import LeaseCandidate, LeaseVoter
from chicoryhold.steering.shifts import RAMP_SECONDS, ShiftLimiter
from chicoryhold.steering.targets import ANNOUNCEMENT_TTL_SECONDS, TargetRegistry
from tests.conftest import FakeClock

SHIFT = StartShift(
    name="s", service="menus", source="a", destination="b", share=1.0, cap=10.0
)


def word(address="t1", instance="i1", sequence=1, slots=2, **fields) -> Announcement:
    return Announcement(
        service=fields.pop("service", "menus"),
        address=address,
        instance=instance,
        sequence=sequence,
        slots=slots,
        connections=900,
        **fields,
    )


def coordinator(clock, *, limits=None, shifts=(), epoch=1) -> Coordinator:
    return Coordinator(
        epoch=epoch,
        limits=DomainLimits(
            epoch=epoch,
            domain="a",
            domains=("a",),
            limits_of=lambda _: limits or OrganisationLimits(rate=1e6, burst=1000),
            clock=clock,
        ),
        targets=TargetRegistry(clock=clock),
        shifts=ShiftLimiter(clock=clock, shifts=lambda: shifts),
        weight_of=lambda _: 1.0,
        clock=clock,
    )


def answers(one: Coordinator) -> list:
    return [e.answer for e in one.take() if isinstance(e, AnswerRequest)]


def admit(one: Coordinator, ticket=1, **fields) -> list:
    request = Admit(organisation="", service="menus", patience=1.0, **fields)
    one.admit(ticket, request)
    return answers(one)


@settings(max_examples=300)
@given(seed=st.integers(0, 2**32))
def test_no_target_ever_holds_more_than_its_slots(seed):
    random = Random(seed)
    clock = FakeClock()
    one = coordinator(clock)
    held: dict[str, str] = {}
    ends: dict[str, float] = {}
    sequence = 0
    for step in range(200):
        clock.advance(random.random() * 0.2)
        sequence += 1
        name = f"t{random.randrange(3)}"
        action = random.random()
        if action < 0.3:
            one.announce(word(address=name, instance=name, sequence=sequence))
        elif action < 0.35:
            one.announce(
                word(address=name, instance=f"{name}.{step}", sequence=sequence)
            )
        elif action < 0.7:
            one.admit(step, Admit(organisation="o", service="menus", patience=2.0))
        elif held:
            grant = random.choice(list(held))
            del held[grant]
            ok = random.random() < 0.8
            one.release(Release(grant=grant, ok=ok, latency=0.1))
        # A host ends its exchange by its deadline, which is patience over 0.9 away.
        held = {grant: held[grant] for grant in held if ends[grant] > clock.now()}
        one.tick()
        for answer in answers(one):
            if isinstance(answer, Admitted):
                held[answer.grant] = answer.address
                ends[answer.grant] = clock.now() - answer.waited + 2.0 / 0.9
        for name in {"t0", "t1", "t2"}:
            assert list(held.values()).count(name) <= 2


def test_draining_target_gets_no_work_even_if_an_older_announcement_follows(clock):
    one = coordinator(clock)
    one.announce(word(sequence=1))
    one.announce(word(sequence=3, draining=True))
    one.announce(word(sequence=2))
    one.announce(word(sequence=4))
    assert isinstance(admit(one)[0], NotAdmitted)


def test_target_that_stops_renewing_gets_no_work(clock):
    one = coordinator(clock)
    one.announce(word())
    clock.advance(ANNOUNCEMENT_TTL_SECONDS + 0.01)
    assert isinstance(admit(one)[0], NotAdmitted)


def test_former_process_at_an_address_cannot_announce_again(clock):
    one = coordinator(clock)
    one.announce(word(instance="old", sequence=9))
    one.announce(word(instance="new", sequence=1, service="slots"))
    assert not one.announce(word(instance="old", sequence=10)).accepted
    assert isinstance(admit(one)[0], NotAdmitted)


def test_target_whose_requests_fail_is_left_out_whatever_it_says(clock):
    one = coordinator(clock)
    one.announce(word(address="bad", slots=5))
    for _ in range(3):
        grant = admit(one)[0]
        one.release(Release(grant=grant.grant, ok=False, latency=0.1))
    one.announce(word(address="bad", slots=5, sequence=2, load=0.0))
    one.announce(word(address="good", slots=1))
    assert [answer.address for answer in admit(one)] == ["good"]
    assert admit(one) == []


def test_new_coordinator_counts_slots_that_hosts_still_hold(clock):
    one = coordinator(clock, epoch=2)
    held = (HeldSlots(address="t1", count=2),)
    one.record_held_slots(Hello(host="a-1", held=held))
    one.announce(word(slots=2))
    assert admit(one) == []
    one.record_held_slots(Hello(host="a-1", held=()))
    one.tick()
    assert isinstance(answers(one)[0], Admitted)


def test_slot_of_a_host_that_never_gives_it_back_is_free_after_its_deadline(clock):
    one = coordinator(clock)
    one.announce(word(slots=1))
    admit(one)
    clock.advance(1 / 0.9)
    one.announce(word(slots=1, sequence=2))
    one.tick()
    assert admit(one, ticket=2) == []
    clock.advance(1.2)
    one.announce(word(slots=1, sequence=3))
    one.tick()
    answers(one)
    assert isinstance(admit(one, ticket=3)[0], Admitted)


def test_waiting_request_is_refused_when_its_patience_ends(clock):
    one = coordinator(clock)
    one.announce(word(slots=1))
    admit(one)
    assert admit(one, ticket=2) == []
    clock.advance(1.01)
    one.announce(word(slots=1, sequence=2))
    one.tick()
    assert isinstance(answers(one)[0], NotAdmitted)


def test_token_of_a_request_that_found_no_slot_is_given_back(clock):
    one = coordinator(clock, limits=OrganisationLimits(rate=0.01, burst=1))
    clock.advance(200)
    request = Admit(organisation="o", service="menus", patience=1.0)
    for _ in range(3):
        one.admit(1, request)
        assert answers(one)[0].reason == "no_target"
    one.announce(word())
    one.admit(1, request)
    assert isinstance(answers(one)[0], Admitted)
    one.admit(1, request)
    assert answers(one)[0].reason == "rate_exceeded"


def test_queue_serves_a_quiet_organisation_before_the_backlog_of_a_loud_one():
    queue: FairQueue[str] = FairQueue(limit=100)
    for number in range(50):
        queue.push(f"loud {number}", organisation="loud", weight=1)
    queue.push("quiet", organisation="quiet", weight=1)
    served = []
    while queue:
        queue.pop_first_accepted(lambda item: served.append(item) is None)
    assert served.index("quiet") <= 1


def test_full_queue_still_takes_an_organisation_that_has_little_in_it():
    queue: FairQueue[str] = FairQueue(limit=10)
    while queue.push("x", organisation="loud", weight=1):
        continue
    assert queue.push("y", organisation="quiet", weight=1)


@settings(max_examples=200)
@given(seed=st.integers(0, 2**32))
def test_shift_stays_under_its_cap_in_every_window_and_ramps(seed):
    random = Random(seed)
    clock = FakeClock()
    gate = ShiftLimiter(clock=clock, shifts=lambda: (SHIFT,))
    admitted = []
    start = clock.now()
    for _ in range(400):
        clock.advance(random.expovariate(40))
        if gate.admit("s", free_share=1.0):
            admitted.append(clock.now())
    for first, begin in enumerate(admitted):
        for last in range(first, len(admitted)):
            window = admitted[last] - begin
            part = min(1.0, (admitted[last] - start) / RAMP_SECONDS + 0.05)
            assert last - first + 1 <= 1 + SHIFT.cap * part * window + 1e-6


def test_shift_without_headroom_or_without_an_order_takes_nothing(clock):
    gate = ShiftLimiter(clock=clock, shifts=lambda: (SHIFT,))
    gate.admit("s", free_share=1.0)
    clock.advance(60)
    assert not gate.admit("s", free_share=0.1)
    assert not gate.admit("other", free_share=1.0)
    assert gate.admit("s", free_share=1.0)


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
    ledgers = {name: 0 for name in names}
    flying: list = []
    for _ in range(150):
        clock.advance(random.random() * 0.3)
        name = random.choice(names)
        action = random.random()
        if action < 0.4:
            candidate = candidates[name]
            ledger = None
            if candidate.valid:
                ledgers[name] += 1
                ledger = Ledger(epoch=candidate.epoch, version=ledgers[name])
            request = candidate.start_round(ledger)
            for voter in names:
                flying.append(("ask", name, voter, request, None))
        elif action < 0.45:
            voters[name] = LeaseVoter(clock=clock)
        random.shuffle(flying)
        for _ in range(random.randrange(6)):
            if flying:
                kind, asker, voter, request, reply = flying.pop()
                if random.random() < 0.2:
                    continue
                if kind == "ask":
                    reply = voters[voter].on_request(request)
                    flying.append(("reply", asker, voter, request, reply))
                else:
                    candidates[asker].on_reply(voter, reply, request)
        assert sum(candidate.valid for candidate in candidates.values()) <= 1


def test_new_coordinator_sees_the_ledger_that_a_majority_kept(clock):
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


@settings(max_examples=200)
@given(
    networks=st.lists(
        st.tuples(st.integers(0, 2**32 - 1), st.sampled_from([0, 4, 8, 15, 24, 32])),
        max_size=12,
        unique_by=lambda pair: (pair[0] >> (32 - pair[1]) if pair[1] else 0, pair[1]),
    ),
    addresses=st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=10),
)
def test_packed_blocks_agree_with_a_plain_search(networks, addresses):
    plain = [
        ipaddress.IPv4Network((address, prefix), strict=False)
        for address, prefix in networks
    ]
    packed = ClientBlocks(parse_block(str(n), place) for place, n in enumerate(plain))
    edges = [int(n.network_address) for n in plain]
    edges += [int(n.broadcast_address) for n in plain]
    for address in addresses + edges:
        matching = [
            (network.prefixlen, place)
            for place, network in enumerate(plain)
            if ipaddress.IPv4Address(address) in network
        ]
        expected = max(matching)[1] if matching else None
        assert packed.domain_index_of(address) == expected
