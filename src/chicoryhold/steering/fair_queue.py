"""Weighted fair queueing of requests that wait for a slot.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each organisation's requests
get increasing tags, one over its weight apart, and the lowest tag goes first.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class _Place(Generic[T]):
    tag: float
    organisation: str
    item: T


class FairQueue(Generic[T]):
    """A bounded queue, fair between organisations."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._places: list[_Place[T]] = []
        self._last_tag: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._places)

    def push(self, item: T, *, organisation: str, weight: float) -> bool:
        """Add ``item``; returns false if the queue is full.

        When it is full, only an organisation that has less than its equal part of
        the places may still add, so one organisation can't keep the others out.
        """
        if not self._has_place(organisation):
            return False
        start = max(self._virtual_time, self._last_tag.get(organisation, 0.0))
        self._last_tag[organisation] = start + 1 / weight
        place = _Place(tag=start, organisation=organisation, item=item)
        bisect.insort(self._places, place, key=_tag_of)
        self._waiting[organisation] = self._waiting.get(organisation, 0) + 1
        return True

    def pop_first(self, accept: Callable[[T], bool]) -> bool:
        """Remove the first item in turn that ``accept`` takes, if there is one."""
        for position, place in enumerate(self._places):
            if accept(place.item):
                del self._places[position]
                self._virtual_time = max(self._virtual_time, place.tag)
                self._left(place.organisation)
                return True
        return False

    def remove_all(self, unwanted: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which ``unwanted(item)`` is true."""
        removed = [place for place in self._places if unwanted(place.item)]
        if removed:
            self._places = [p for p in self._places if not unwanted(p.item)]
        for place in removed:
            self._left(place.organisation)
        return [place.item for place in removed]

    def _has_place(self, organisation: str) -> bool:
        if len(self._places) < self._limit:
            return True
        others = set(self._waiting) | {organisation}
        return self._waiting.get(organisation, 0) < self._limit / len(others) / 2

    def _left(self, organisation: str) -> None:
        self._waiting[organisation] -= 1
        if self._waiting[organisation] == 0:
            del self._waiting[organisation]
            self._forget_old_tags()

    def _forget_old_tags(self) -> None:
        self._last_tag = {
            name: tag
            for name, tag in self._last_tag.items()
            if tag > self._virtual_time
        }


def _tag_of(place: _Place) -> float:
    return place.tag
