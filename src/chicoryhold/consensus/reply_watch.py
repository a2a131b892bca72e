"""For how long a leader has had no reply of a member."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.clock import Clock


class ReplyWatch:
    """Counts the time in which a member could have replied.

    Any reply counts, however late: a slow member isn't silent. The time in which this
    process didn't run doesn't count, as nobody's replies were read: between two calls
    of :meth:`advance` at most ``longest_step`` seconds do.
    """

    def __init__(self, *, clock: Clock, longest_step: float) -> None:
        self._clock = clock
        self._longest_step = longest_step
        self.restart()

    def restart(self) -> None:
        """Discard all, as a new term begins."""
        self._watched = 0.0
        self._advanced_at = self._clock.now()
        self._heard: dict[str, float] = {}
        self._watched_since: dict[str, float] = {}

    def advance(self, members: Iterable[str]) -> None:
        """Count the time since the last call; watch new ``members`` from now on."""
        now = self._clock.now()
        self._watched += min(now - self._advanced_at, self._longest_step)
        self._advanced_at = now
        for member in members:
            self._heard.setdefault(member, self._watched)
            self._watched_since.setdefault(member, self._watched)

    def record_reply(self, member: str) -> None:
        self._heard[member] = self._watched

    def watched_seconds(self, member: str) -> float:
        """Return for how many seconds ``member`` could have replied."""
        return self._watched - self._watched_since.get(member, self._watched)

    def silent_seconds(self, member: str) -> float:
        """Return for how many seconds ``member`` could have replied and didn't."""
        return self._watched - self._heard.get(member, self._watched)
