"""Long-polling fetches of changes, at a control replica or a relay."""

from __future__ import annotations

from concurrent.futures import Future

import attrs

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import FetchChanges, SourceUnavailable

MAX_FETCH_WAIT_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class _PendingFetch:
    request: FetchChanges
    reply: Future
    received_at: float


class PendingFetches:
    """Holds each fetch until the source's revision differs from the follower's.

    After at most ``max_wait`` seconds a fetch is answered without changes. This reply
    is the heartbeat from the source to the follower, and the follower's next fetch is
    the heartbeat in the other direction.
    """

    def __init__(
        self,
        *,
        feed: ChangeFeed,
        clock: Clock,
        max_wait: float = MAX_FETCH_WAIT_SECONDS,
    ) -> None:
        self._max_wait = max_wait
        self._feed = feed
        self._clock = clock
        self._pending: list[_PendingFetch] = []
        self._is_confirmed = False

    def add(self, request: FetchChanges, reply: Future) -> None:
        self._pending.append(
            _PendingFetch(request=request, reply=reply, received_at=self._clock.now())
        )

    def answer_ready(self, *, confirmed_age: float) -> None:
        """Answer the fetches that have an update or have waited for ``max_wait``.

        That the copy here is confirmed now, and wasn't before, is an update for all.
        """
        now = self._clock.now()
        was_confirmed, self._is_confirmed = (
            self._is_confirmed,
            confirmed_age < UNCONFIRMED_AGE_SECONDS,
        )
        is_news = self._is_confirmed and not was_confirmed
        waiting = []
        for pending in self._pending:
            request = pending.request
            has_update = is_news or self._feed.has_update_for(request)
            waited = now - pending.received_at
            if has_update or request.at_once or waited >= self._max_wait:
                answer = self._feed.answer(
                    request, confirmed_age=confirmed_age, waited=waited
                )
                pending.reply.set_result(answer)
            else:
                waiting.append(pending)
        self._pending = waiting

    def refuse_all(self) -> None:
        """Answer every fetch with ``SourceUnavailable``."""
        for pending in self._pending:
            pending.reply.set_result(SourceUnavailable())
        self._pending = []
