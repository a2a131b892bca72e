"""Logs, for each second in which a copy is old, why it is."""

from __future__ import annotations

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS

OLD_AGE_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 1.0


@attrs.define(kw_only=True)
class _Second:
    """What happened since the last line; the longest times, in seconds."""

    age: float = 0.0
    asked: int = 0
    replies: int = 0
    late: int = 0
    too_late: int = 0
    without_source: int = 0
    held: float = 0.0
    on_the_way: float = 0.0
    queued: float = 0.0
    applied: float = 0.0
    between_ticks: float = 0.0
    source_age: float = 0.0
    unanswered: float = 0.0


class FetchLog:
    """Collects what a follower does, and logs it once a second while its copy is old.

    A reply took ``held`` at the source, which waited for a change, was ``on_the_way``
    in both directions, threads of both processes included, and then ``queued`` here
    until the follower handled it. Putting a new state in force took ``applied``, on
    the follower's thread. ``between_ticks`` shows a process that was paused or
    had no processor time. The oldest fetch hasn't been answered for ``unanswered``;
    ``image_bytes`` of an image have arrived.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._second = _Second()
        self._next_line_at = 0.0
        self._started_at: float | None = None
        self._ticked_at: float | None = None
        self._reason = ""
        self._source_revision = 0

    def ticked(self) -> None:
        now = self._clock.now()
        if self._ticked_at is not None:
            gap = now - self._ticked_at
            self._second.between_ticks = max(self._second.between_ticks, gap)
        self._ticked_at = now

    def asked(self) -> None:
        self._second.asked += 1

    def had_no_source(self) -> None:
        self._second.without_source += 1
        self._reason = "no source is known that replies"

    def was_too_late(self) -> None:
        """Record a reply to a fetch that was given up."""
        self._second.too_late += 1

    def failed(self, reason: str) -> None:
        self._reason = reason

    def replied(
        self, *, sent_at: float, arrived_at: float, held: float, source_age: float,
        source_revision: int, is_late: bool,
    ) -> None:  # fmt: skip
        """Record a reply; a late one came after another source was asked."""
        second = self._second
        second.replies += 1
        second.late += is_late
        second.held = max(second.held, held)
        second.on_the_way = max(second.on_the_way, arrived_at - sent_at - held)
        second.queued = max(second.queued, self._clock.now() - arrived_at)
        second.source_age = max(second.source_age, source_age)
        self._source_revision = max(self._source_revision, source_revision)
        self._reason = ""

    def applied(self, *, since: float) -> None:
        seconds = self._clock.now() - since
        self._second.applied = max(self._second.applied, seconds)

    def write(
        self, *, age: float, revision: int, version: int, source: str,
        unanswered: float = 0.0, image_bytes: int = 0,
    ) -> None:  # fmt: skip
        """Log a line if one is due, and begin the next second.

        It is also written for the second in which the copy gets recent again. Until
        the copy was first confirmed its age counts from the first call.
        """
        now = self._clock.now()
        if self._started_at is None:
            self._started_at = now
        was_confirmed = age < UNCONFIRMED_AGE_SECONDS
        age_now = age if was_confirmed else now - self._started_at
        self._second.age = max(self._second.age, age_now)
        self._second.unanswered = max(self._second.unanswered, unanswered)
        if now < self._next_line_at:
            return
        self._next_line_at = now + LOG_INTERVAL_SECONDS
        second, self._second = self._second, _Second(age=age_now)
        if second.age < OLD_AGE_SECONDS:
            return
        logger.bind(
            revision=revision,
            version=version,
            source=source,
            source_revision=self._source_revision,
            reason=self._reason,
            image_bytes=image_bytes,
            was_confirmed=was_confirmed,
            **{name: round(value, 3) for name, value in attrs.asdict(second).items()},
        ).info("follower: the copy is old.")
