"""Whom a leader finds silent: not the slow, and nobody for its own pauses."""

from __future__ import annotations

from chicoryhold.consensus.reply_watch import ReplyWatch
from tests.conftest import FakeClock

HEARTBEAT_SECONDS = 0.25
MEMBERS = ("a.1", "b.1")


def advance(watch: ReplyWatch, clock: FakeClock, seconds: float) -> None:
    """Let time pass in heartbeats, as while the leader's process runs."""
    for _ in range(round(seconds / HEARTBEAT_SECONDS)):
        clock.advance(HEARTBEAT_SECONDS)
        watch.advance(MEMBERS)


def started() -> tuple[ReplyWatch, FakeClock]:
    clock = FakeClock()
    watch = ReplyWatch(clock=clock, longest_step=HEARTBEAT_SECONDS)
    watch.advance(MEMBERS)
    return watch, clock


def test_a_member_that_replies_late_but_steadily_is_not_silent():
    watch, clock = started()
    for _ in range(10):
        advance(watch, clock, 0.75)
        watch.record_reply("a.1")
    assert watch.silent_seconds("a.1") == 0
    assert watch.silent_seconds("b.1") == 7.5


def test_a_pause_of_the_leader_makes_no_member_silent():
    """Guards against a leader that wakes and finds all its voters lost."""
    watch, clock = started()
    clock.advance(3.5)
    watch.advance(MEMBERS)
    assert watch.silent_seconds("a.1") <= HEARTBEAT_SECONDS


def test_a_member_that_is_added_later_is_watched_from_then_on():
    watch, clock = started()
    advance(watch, clock, 5.0)
    watch.advance((*MEMBERS, "c.1"))
    assert watch.silent_seconds("c.1") == 0
