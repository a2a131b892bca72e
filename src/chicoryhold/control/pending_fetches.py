"""Fetches of changes that wait for news, at a control replica or a relay."""

from __future__ import annotations

from concurrent.futures import Future

import attrs

from chicoryhold.clock import Clock
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import FetchChanges, SourceUnavailable

LONGEST_FETCH = 1.0


@attrs.frozen(kw_only=True)
class _Pending:
    request: FetchChanges
    reply: Future
    until: float


class PendingFetches:
    """Holds each fetch until there is a newer revision, or for ``longest`` seconds.

    Answering without news after that time is the heartbeat in this direction; the
    next fetch is the one in the other.
    """

    def __init__(
        self, *, feed: ChangeFeed, clock: Clock, longest: float = LONGEST_FETCH
    ) -> None:
        self._longest = longest
        self._feed = feed
        self._clock = clock
        self._pending: list[_Pending] = []

    def add(self, request: FetchChanges, reply: Future) -> None:
        until = self._clock.now() + self._longest
        self._pending.append(_Pending(request=request, reply=reply, until=until))

    def answer_ready(self, *, confirmed_age: float) -> None:
        """Answer the fetches for which there is news or that waited long enough."""
        now = self._clock.now()
        waiting = []
        for pending in self._pending:
            if self._feed.has_news(pending.request) or now >= pending.until:
                batch = self._feed.answer(pending.request, confirmed_age=confirmed_age)
                pending.reply.set_result(batch)
            else:
                waiting.append(pending)
        self._pending = waiting

    def refuse_all(self) -> None:
        """Send every asker to another source."""
        for pending in self._pending:
            pending.reply.set_result(SourceUnavailable())
        self._pending = []
