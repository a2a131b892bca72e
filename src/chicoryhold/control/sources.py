"""Chooses from which source an entry host fetches next."""

from __future__ import annotations

from collections.abc import Callable, Collection

from chicoryhold.clock import Clock

SOURCE_BACKOFF_SECONDS = 10.0


class SourceChoice:
    """Remembers which sources to avoid, and why.

    ``sources`` returns process names in order of preference. A source that doesn't
    reply in time is avoided until it does: it may only be slow, and then a reply that
    arrives late is as good as one in time. ``unconfirmed_back_off`` is the time in
    seconds for which a source is avoided that replies, but isn't confirmed.
    """

    def __init__(
        self, *, sources: Callable[[], tuple[str, ...]], clock: Clock,
        unconfirmed_back_off: float,
    ) -> None:  # fmt: skip
        self._sources = sources
        self._clock = clock
        self._unconfirmed_back_off = unconfirmed_back_off
        self._avoided_until: dict[str, float] = {}
        self._late: set[str] = set()
        self._found_stale_at: dict[str, float] = {}
        self._suggested = ""

    def choose(
        self, *, waiting: Collection[str] = (), followers: Collection[str] = ()
    ) -> str:
        """Return the source to ask, or ``""`` if there is none.

        A source in ``waiting`` owes a reply already, so one that doesn't comes first.
        If all are avoided, it is the one that is avoided for the shortest time. Those
        in ``followers`` fetch from this host, so they come after all that don't and
        aren't avoided.
        """
        sources = self._sources()
        if not sources:
            return ""
        now = self._clock.now()
        if self._suggested in sources and not self._is_avoided(self._suggested, now):
            return self._suggested
        return min(
            sources,
            key=lambda source: (
                source in waiting,
                self._is_avoided(source, now),
                source in followers,
                max(now, self._avoided_until.get(source, 0.0)),
            ),
        )

    def avoid_late(self, source: str) -> None:
        """Avoid a source that hasn't replied in time, until it replies."""
        self._late.add(source)
        self.avoid(source)

    def avoid(self, source: str, *, suggested: str = "") -> None:
        """Avoid a source; ``suggested`` is used next if it is one."""
        self._avoid(source, SOURCE_BACKOFF_SECONDS, suggested)

    def avoid_unconfirmed(self, source: str, *, suggested: str = "") -> None:
        """Avoid a source that replies, but isn't confirmed, for a short time.

        Until a leader is elected that is so of all sources, and then of none.
        """
        self._found_stale_at[source] = self._clock.now()
        self._avoid(source, self._unconfirmed_back_off, suggested)

    def record_reply(self, source: str) -> None:
        """Note that ``source`` replies."""
        if source in self._late:
            self._late.discard(source)
            self._avoided_until.pop(source, None)

    def record_confirmed(self, source: str, *, confirmed_age: float) -> None:
        """Avoid sources for longer that weren't confirmed when ``source`` was."""
        now = self._clock.now()
        for other, found_at in list(self._found_stale_at.items()):
            if found_at < now - confirmed_age:
                del self._found_stale_at[other]
                if other != source:
                    self._avoided_until[other] = now + SOURCE_BACKOFF_SECONDS

    def _avoid(self, source: str, seconds: float, suggested: str) -> None:
        self._avoided_until[source] = self._clock.now() + seconds
        self._suggested = suggested
        self._avoided_until.pop(suggested, None)

    def _is_avoided(self, source: str, now: float) -> bool:
        return now < self._avoided_until.get(source, 0.0)
