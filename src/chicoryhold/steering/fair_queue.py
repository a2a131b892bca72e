"""Weighted fair queueing of requests that wait for a slot.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): the start tags of successive
requests of an organisation are at least ``1 / weight`` apart, and the request with the
lowest start tag is served first.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class _Entry(Generic[T]):
    start_tag: float
    organisation: str
    item: T


class FairQueue(Generic[T]):
    """A queue with a length limit that is fair between organisations."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._entries: list[_Entry[T]] = []
        self._finish_tags: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, item: T, *, organisation: str, weight: float) -> bool:
        """Add ``item``; returns false if the queue is full.

        A full queue still accepts items, beyond its limit, from an organisation with
        few entries: less than half of the limit divided by the number of organisations
        in the queue. So one organisation can't keep the others out.
        """
        if not self._has_room(organisation):
            return False
        start = max(self._virtual_time, self._finish_tags.get(organisation, 0.0))
        self._finish_tags[organisation] = start + 1 / weight
        entry = _Entry(start_tag=start, organisation=organisation, item=item)
        bisect.insort(self._entries, entry, key=_start_tag_of)
        self._counts[organisation] = self._counts.get(organisation, 0) + 1
        return True

    def pop_first_accepted(self, accept: Callable[[T], bool]) -> bool:
        """Remove the first item, in service order, that ``accept`` returns true for.

        Returns whether there was such an item.
        """
        for position, entry in enumerate(self._entries):
            if accept(entry.item):
                del self._entries[position]
                self._virtual_time = max(self._virtual_time, entry.start_tag)
                self._count_removal(entry.organisation)
                return True
        return False

    def remove_where(self, predicate: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which ``predicate(item)`` is true."""
        removed = [entry for entry in self._entries if predicate(entry.item)]
        if removed:
            self._entries = [e for e in self._entries if not predicate(e.item)]
        for entry in removed:
            self._count_removal(entry.organisation)
        return [entry.item for entry in removed]

    def _has_room(self, organisation: str) -> bool:
        if len(self._entries) < self._limit:
            return True
        organisations = set(self._counts) | {organisation}
        return self._counts.get(organisation, 0) < self._limit / len(organisations) / 2

    def _count_removal(self, organisation: str) -> None:
        self._counts[organisation] -= 1
        if self._counts[organisation] == 0:
            del self._counts[organisation]
            self._drop_old_finish_tags()

    def _drop_old_finish_tags(self) -> None:
        """Drop tags below the virtual time: they no longer affect start tags."""
        self._finish_tags = {
            name: finish_tag
            for name, finish_tag in self._finish_tags.items()
            if finish_tag > self._virtual_time
        }


def _start_tag_of(entry: _Entry) -> float:
    return entry.start_tag
