"""How much a leader sends to a member before it is acknowledged."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

from chicoryhold.consensus.messages import Entry

MAX_REQUEST_BYTES = 65_536
MIN_WINDOW_BYTES = 65_536
INITIAL_WINDOW_BYTES = 131_072
MAX_WINDOW_BYTES = 1_048_576
PROMPT_SECONDS = 0.25
LATE_SECONDS = 0.4


@attrs.frozen(kw_only=True)
class _Sent:
    last_index: int
    size: int
    at: float


class InFlight:
    """The entries, or the part of a snapshot, that a member hasn't acknowledged yet.

    Heartbeats wait behind them, on the link and for the member to handle them. So the
    window grows while acknowledgements are prompt, and is halved when they are late.
    What is lost on the way stays in flight until a rejection shows that it is.
    """

    def __init__(self) -> None:
        self._sent: collections.deque[_Sent] = collections.deque()
        self._size = 0
        self._window = INITIAL_WINDOW_BYTES

    @property
    def window(self) -> int:
        """How many bytes may be in flight."""
        return self._window

    @property
    def has_room(self) -> bool:
        return self._size < self._window

    def add(self, *, last_index: int, size: int, at: float) -> None:
        self._sent.append(_Sent(last_index=last_index, size=size, at=at))
        self._size += size

    def acknowledge(self, index: int, *, now: float) -> None:
        """Note that the member has stored everything up to ``index``."""
        while self._sent and self._sent[0].last_index <= index:
            sent = self._sent.popleft()
            self._size -= sent.size
            self._adapt(sent.size, seconds=now - sent.at)

    def clear(self) -> None:
        """Note that everything in flight is lost."""
        self._sent.clear()
        self._size = 0
        self._window = min(self._window, INITIAL_WINDOW_BYTES)

    def _adapt(self, size: int, *, seconds: float) -> None:
        if seconds <= PROMPT_SECONDS:
            self._window = min(MAX_WINDOW_BYTES, self._window + size)
        elif seconds > LATE_SECONDS:
            self._window = max(MIN_WINDOW_BYTES, self._window // 2)


def first_that_fit(entries: Sequence[Entry]) -> tuple[Entry, ...]:
    """Return the first of ``entries``, as many as one request takes; at least one."""
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry.command)
        if count and size > MAX_REQUEST_BYTES:
            return tuple(entries[:count])
    return tuple(entries)


def size_of(entries: Sequence[Entry]) -> int:
    return sum(len(entry.command) for entry in entries)
