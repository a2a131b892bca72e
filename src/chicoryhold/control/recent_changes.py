"""The newest changes of a state, for copies of older builds that ask for them."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

from chicoryhold.state.changes import Change

MAX_BYTES = 262_144


class RecentChanges:
    """Keeps the newest changes without a gap, up to ``MAX_BYTES`` of them."""

    def __init__(self) -> None:
        self._changes: collections.deque[Change] = collections.deque()
        self._size = 0

    def __len__(self) -> int:
        return len(self._changes)

    def add(self, change: Change) -> None:
        self._changes.append(change)
        self._size += len(change.body)
        while self._size > MAX_BYTES:
            self._size -= len(self._changes.popleft().body)

    def clear(self) -> None:
        self._changes.clear()
        self._size = 0

    def newest(self, count: int) -> Iterator[Change]:
        """Yield the newest ``count`` changes, oldest first."""
        return itertools.islice(self._changes, len(self._changes) - count, None)
