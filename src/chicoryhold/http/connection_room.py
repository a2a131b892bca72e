"""Which callers' connections to close when there are too many.

A caller that opens a new connection waits for an answer; the caller of an idle one
doesn't, and may not use it again. So the longest idle ones make room for new ones.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection
from typing import Protocol, TypeVar

import attrs
from loguru import logger

from chicoryhold.clock import Clock

ROOM_FRACTION = 0.05  # of the limit, made at once, so that the search is rare
FUTILE_INTERVAL_SECONDS = 0.05  # between searches while too few connections are idle
LOG_INTERVAL_SECONDS = 1.0


class IdleConnection(Protocol):
    """An open connection. ``last_activity`` is the time at which it was last used."""

    @property
    def last_activity(self) -> float: ...

    @property
    def may_be_closed(self) -> bool:
        """Whether nothing has been received on it that isn't answered."""
        ...


AnyConnection = TypeVar("AnyConnection", bound=IdleConnection)


@attrs.define(kw_only=True)
class ConnectionRoom:
    """Decides which connections to close so that at most ``limit`` are open."""

    limit: int
    clock: Clock
    _next_check: float = float("-inf")
    _next_log: float = float("-inf")

    def surplus(self, connections: Collection[AnyConnection]) -> list[AnyConnection]:
        """Return the connections to close now, the longest idle ones.

        Fewer are returned than are too many if the others are in use.
        """
        excess = len(connections) - self.limit
        if excess <= 0:
            return []
        now = self.clock.now()
        if now < self._next_check:
            return []
        idle = [each for each in connections if each.may_be_closed]
        wanted = excess + int(ROOM_FRACTION * self.limit)
        if len(idle) < wanted:
            self._next_check = now + FUTILE_INTERVAL_SECONDS
        chosen = heapq.nsmallest(
            wanted, idle, key=lambda connection: connection.last_activity
        )
        self._log(now, open=len(connections), idle=len(idle), closed=len(chosen))
        return chosen

    def _log(self, now: float, **fields: int) -> None:
        if now < self._next_log:
            return
        self._next_log = now + LOG_INTERVAL_SECONDS
        logger.bind(limit=self.limit, **fields).warning(
            "http: too many connections are open; the longest idle ones are closed."
        )
