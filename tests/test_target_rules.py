"""The load tool's checks of what simulated targets have seen."""

from __future__ import annotations

import pytest

from chicoryhold.load.target_rules import check_crashes, check_limit


@pytest.mark.parametrize(
    ("times", "crashes", "late", "is_kept"),
    [
        ((), 0, 0, True),
        ((1.0, 2.0, 3.0, 6.9), 4, 0, True),
        ((3.0, 2.0, 1.0, 7.1, 7.2, 7.3), 6, 3, True),
        ((1.0, 2.0, 3.0, 7.1, 7.2, 7.3, 7.4), 7, 4, False),
    ],
)
def test_a_request_may_be_sent_three_times_once_three_crashes_are_known(
    times, crashes, late, is_kept
):
    result = check_crashes(times, known_seconds=4.0)
    assert (result.crashes, result.late_retries) == (crashes, late)
    assert result.is_kept is is_kept


def test_a_target_may_get_one_and_a_half_times_its_limit_and_five_more():
    times = [number / 10 for number in range(100)]
    assert check_limit(times, rate=6.0, since=0.0).is_kept
    assert not check_limit(times, rate=5.7, since=0.0).is_kept
    assert check_limit(times, rate=5.7, since=7.0).is_kept
