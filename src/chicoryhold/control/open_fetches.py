"""The fetches of an entry host whose replies may still arrive."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future

import attrs
from loguru import logger

from chicoryhold.clock import Clock

MAX_OPEN_FETCHES = 6
MAX_FETCH_SECONDS = 10.0


@attrs.define(kw_only=True)
class OpenFetch:
    """A fetch from ``source`` that was sent at ``sent_at``."""

    source: str
    sent_at: float
    future: Future
    is_late: bool = False


class OpenFetches:
    """Numbers fetches, and forgets those that can't be of use any more.

    A reply that arrives late is used, so a fetch stays open while others follow it.
    ``forget`` is called with the future of each fetch that is given up.
    """

    def __init__(self, *, clock: Clock, forget: Callable[[Future], None]) -> None:
        self._clock = clock
        self._forget = forget
        self._open: dict[int, OpenFetch] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._open)

    @property
    def newest(self) -> OpenFetch | None:
        return self._open[max(self._open)] if self._open else None

    @property
    def sources(self) -> frozenset[str]:
        """The sources that owe a reply."""
        return frozenset(fetch.source for fetch in self._open.values())

    @property
    def longest_wait(self) -> float:
        """For how many seconds the oldest fetch hasn't been answered."""
        oldest = min((fetch.sent_at for fetch in self._open.values()), default=None)
        return 0.0 if oldest is None else self._clock.now() - oldest

    def next_number(self) -> int:
        """Return the number of the fetch that is about to be sent."""
        self._next_number += 1
        return self._next_number

    def add(self, number: int, *, source: str, future: Future) -> None:
        self._open[number] = OpenFetch(
            source=source, sent_at=self._clock.now(), future=future
        )
        while len(self._open) > MAX_OPEN_FETCHES:
            self._drop(min(self._open))

    def take(self, number: int) -> OpenFetch | None:
        """Return the fetch that was answered, unless it was given up."""
        return self._open.pop(number, None)

    def take_overdue(self, *, timeout: float) -> list[OpenFetch]:
        """Return the fetches that have become late: not answered after ``timeout``."""
        now = self._clock.now()
        for number in [
            number
            for number, fetch in self._open.items()
            if now - fetch.sent_at > MAX_FETCH_SECONDS
        ]:
            self._drop(number)
        overdue = [
            fetch
            for fetch in self._open.values()
            if not fetch.is_late and now - fetch.sent_at > timeout
        ]
        for fetch in overdue:
            fetch.is_late = True
        return overdue

    def _drop(self, number: int) -> None:
        fetch = self._open.pop(number)
        logger.bind(
            source=fetch.source, seconds=round(self._clock.now() - fetch.sent_at, 3)
        ).info("follower: a fetch is given up; its source hasn't replied.")
        self._forget(fetch.future)
