"""Which requests are found to crash targets, and which only stood beside them."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, strategies as st

from chicoryhold.quarantine.evidence import (
    AMBIGUOUS_CRASHES,
    CONFIRMING_CRASHES,
    EVIDENCE_SECONDS,
    MAX_CRASHES,
    MAX_REQUESTS_PER_CRASH,
    CrashEvidence,
    CrashId,
)
from tests.conftest import FakeClock

DEADLY = b"deadly"


def crash_id(number: int) -> CrashId:
    return CrashId(instance=f"i-{number}", born_ms=number)


def evidence_of(*crashes: tuple[bytes, ...]) -> CrashEvidence:
    evidence = CrashEvidence(clock=FakeClock())
    for number, requests in enumerate(crashes):
        evidence.record_crash(crash_id(number), requests)
    return evidence


def test_a_request_at_three_crashes_is_a_culprit_and_those_at_fewer_are_not():
    evidence = evidence_of((DEADLY, b"a"), (DEADLY, b"a", b"b"), (DEADLY, b"b"))
    assert evidence.culprits() == {DEADLY}


def test_two_crashes_are_not_enough():
    assert not evidence_of((DEADLY,), (DEADLY,)).culprits()


def test_a_bystander_at_the_same_three_crashes_is_told_apart_by_the_fourth():
    evidence = evidence_of(*[(DEADLY, b"read")] * 3)
    assert not evidence.culprits()
    evidence.record_crash(crash_id(3), [DEADLY])
    assert evidence.culprits() == {DEADLY}


def test_requests_with_equal_evidence_are_culprits_after_five_crashes():
    crashes = [(DEADLY, b"read")] * AMBIGUOUS_CRASHES
    assert not evidence_of(*crashes[:-1]).culprits()
    assert evidence_of(*crashes).culprits() == {DEADLY, b"read"}


def test_two_requests_that_crash_different_targets_are_both_found_at_the_third():
    evidence = evidence_of(*[(DEADLY, b"a")] * 3, *[(b"other", b"a")] * 3)
    assert evidence.culprits() == {b"a"}
    evidence.clear(b"a")
    assert evidence.culprits() == {DEADLY, b"other"}


def test_success_clears_what_happened_before_it_and_later_crashes_count():
    clock = FakeClock()
    evidence = CrashEvidence(clock=clock)
    for number in range(3):
        evidence.record_crash(crash_id(number), [b"read"])
    evidence.clear(b"read")
    assert not evidence.culprits()
    clock.advance(1.0)
    for number in range(3, 6):
        evidence.record_crash(crash_id(number), [b"read"])
    assert evidence.culprits() == {b"read"}


def test_the_report_of_the_host_that_sent_the_culprit_may_come_last():
    evidence = evidence_of((DEADLY, b"read"), (DEADLY, b"read"), (b"read",))
    assert evidence.culprits() == {b"read"}
    assert not evidence.is_innocent(b"read", evidence.culprits())
    evidence.record_crash(crash_id(2), [DEADLY])
    evidence.record_crash(crash_id(3), [DEADLY])
    culprits = evidence.culprits()
    assert culprits == {DEADLY}
    assert evidence.is_innocent(b"read", culprits)


def test_reports_about_the_same_crash_add_up_and_repeated_ones_are_no_news():
    evidence = CrashEvidence(clock=FakeClock())
    assert evidence.record_crash(crash_id(0), [DEADLY])
    assert evidence.record_crash(crash_id(0), [b"a"])
    assert not evidence.record_crash(crash_id(0), [DEADLY, b"a"])
    assert evidence.crashes_of(DEADLY) == 1


def test_old_crashes_are_no_evidence():
    clock = FakeClock()
    evidence = CrashEvidence(clock=clock)
    for number in range(2):
        evidence.record_crash(crash_id(number), [DEADLY])
    clock.advance(EVIDENCE_SECONDS + 1)
    evidence.record_crash(crash_id(2), [DEADLY])
    assert evidence.crashes_of(DEADLY) == 1


def test_memory_is_bounded():
    evidence = CrashEvidence(clock=FakeClock())
    for number in range(MAX_CRASHES + 10):
        requests = [bytes([number % 256, each]) for each in range(200)]
        evidence.record_crash(crash_id(number), requests)
    assert len(evidence._crashes) == MAX_CRASHES
    sizes = {len(crash.requests) for crash in evidence._crashes.values()}
    assert max(sizes) == MAX_REQUESTS_PER_CRASH
    for number in range(10_000):
        evidence.clear(number.to_bytes(4))
    assert len(evidence._cleared_at) < 10_000


@given(
    seed=st.integers(0, 2**32),
    bystanders=st.integers(1, 40),
    share=st.floats(0.0, 0.6),
)
def test_a_deadly_request_is_found_by_the_fifth_crash_and_nothing_that_succeeded(
    seed: int, bystanders: int, share: float
):
    # Each bystander stands at a crash with this chance, and succeeds after two of them.
    random = Random(seed)
    evidence = CrashEvidence(clock=FakeClock())
    for number in range(AMBIGUOUS_CRASHES):
        present = [
            f"b{n}".encode() for n in range(bystanders) if random.random() < share
        ]
        evidence.record_crash(crash_id(number), [DEADLY, *present])
        culprits = evidence.culprits()
        assert culprits <= {DEADLY}
        if number + 1 < CONFIRMING_CRASHES:
            assert not culprits
        for request in present:
            if evidence.crashes_of(request) >= 2:
                evidence.clear(request)
    assert evidence.culprits() == {DEADLY}


@pytest.mark.parametrize("confirming", [CONFIRMING_CRASHES, AMBIGUOUS_CRASHES])
def test_a_host_that_knows_only_its_own_crashes_waits_for_more(confirming):
    evidence = CrashEvidence(clock=FakeClock(), confirming_crashes=confirming)
    for number in range(confirming):
        assert not evidence.culprits()
        evidence.record_crash(crash_id(number), [DEADLY])
    assert evidence.culprits() == {DEADLY}
