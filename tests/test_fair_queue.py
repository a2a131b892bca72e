"""Tests of the queue that organisations share."""

from __future__ import annotations

from chicoryhold.steering.fair_queue import FairQueue


def test_queue_serves_another_organisation_before_the_backlog_of_a_busy_one():
    queue: FairQueue[str] = FairQueue(limit=100)
    for number in range(50):
        queue.push(f"busy {number}", organisation="busy", weight=1)
    queue.push("other", organisation="other", weight=1)
    served = []
    while queue:
        queue.pop_first_accepted(lambda item: served.append(item) is None)
    assert served.index("other") <= 1


def test_full_queue_still_accepts_an_organisation_with_few_entries():
    queue: FairQueue[str] = FairQueue(limit=10)
    while queue.push("x", organisation="busy", weight=1):
        continue
    assert queue.push("y", organisation="other", weight=1)
