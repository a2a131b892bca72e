"""Tests of the caps of traffic shifts."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.state.changes import StartShift
from chicoryhold.steering.shifts import RAMP_SECONDS, ShiftLimiter
from tests.conftest import FakeClock

SHIFT = StartShift(
    name="s", service="menus", source="a", destination="b", share=1.0, cap=10.0
)


@settings(max_examples=200)
@given(seed=st.integers(0, 2**32))
def test_shift_stays_under_its_ramped_cap_in_every_window(seed):
    random = Random(seed)
    clock = FakeClock()
    limiter = ShiftLimiter(clock=clock, shifts=lambda: (SHIFT,))
    admitted = []
    start = clock.now()
    for _ in range(400):
        clock.advance(random.expovariate(40))
        if limiter.admit("s", free_fraction=1.0):
            admitted.append(clock.now())
    for first, begin in enumerate(admitted):
        for last in range(first, len(admitted)):
            window = admitted[last] - begin
            ramp_fraction = min(1.0, (admitted[last] - start) / RAMP_SECONDS + 0.05)
            assert last - first + 1 <= 1 + SHIFT.cap * ramp_fraction * window + 1e-6


def test_shift_is_refused_without_free_slots_or_if_unknown(clock):
    limiter = ShiftLimiter(clock=clock, shifts=lambda: (SHIFT,))
    limiter.admit("s", free_fraction=1.0)
    clock.advance(60)
    assert not limiter.admit("s", free_fraction=0.1)
    assert not limiter.admit("other", free_fraction=1.0)
    assert limiter.admit("s", free_fraction=1.0)
