"""Requests that a server has read and not answered, or whose callers had left."""

from __future__ import annotations

import enum

import attrs
from loguru import logger

from chicoryhold.clock import Clock

DEPARTURES_LOG_SECONDS = 1.0  # at least, between two lines


class RequestState(enum.Enum):
    """How far a request is that was read and isn't answered in full."""

    RECEIVING = "receiving"
    QUEUED = "queued"
    RUNNING = "running"
    RESPONDING = "responding"


@attrs.frozen(kw_only=True)
class OpenRequest:
    """A request that was read, at least in part, and isn't answered in full.

    ``request_id`` is empty if the caller sent none. ``seconds`` have passed since the
    last byte was read from its connection.
    """

    request_id: str
    method: str
    path: str
    state: RequestState
    seconds: float


@attrs.define(kw_only=True)
class Departures:
    """Counts the requests whose callers had left before they were read."""

    clock: Clock
    count: int = 0
    _logged: int = 0
    _next_log: float = float("-inf")

    def record(self) -> None:
        self.count += 1
        now = self.clock.now()
        if now < self._next_log:
            return
        self._next_log = now + DEPARTURES_LOG_SECONDS
        logger.bind(requests=self.count - self._logged).warning(
            "http: callers had left before their requests were read."
        )
        self._logged = self.count
