"""Ends the service of a process that was asked to stop, without cutting a request."""

from __future__ import annotations

import enum
import time
from collections.abc import Sequence

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.http.open_requests import OpenRequest
from chicoryhold.http.server import HttpServer
from chicoryhold.programs.signals import StopSignal

POLL_INTERVAL_SECONDS = 0.05
MAX_LOGGED_REQUESTS = 50  # lines a second are limited
EXIT_SECONDS = 0.4  # kept for the end of the process
WRITE_SECONDS = 0.4  # kept for writing the last responses
MIN_REQUEST_SECONDS = 0.5  # with less time left, no request is worth taking
CONTROL_IDLE_SECONDS = 0.1
CONTROL_TAKING_SECONDS = 0.5


class DrainEnd(enum.Enum):
    """Why a drain ended."""

    IDLE = "idle"
    LIMIT = "limit"


@attrs.frozen(kw_only=True)
class DrainTiming:
    """What a stopping process does when, in seconds from the stop signal on.

    The drain lasts for at least ``min_seconds``, then until nothing has been in flight
    for ``idle_seconds``. Requests are taken only if their deadline is not later than
    ``answer_within``, and none are from ``refuse_after`` on. What is then in flight is
    waited for until ``end_after``.
    """

    min_seconds: float
    idle_seconds: float
    refuse_after: float
    answer_within: float
    end_after: float


def drain_timing(
    grace: float, *, min_seconds: float, idle_seconds: float
) -> DrainTiming:
    """Return the timing of a process that is killed ``grace`` seconds after a signal.

    It takes requests for as long as they can surely be answered.
    """
    end_after = max(0.0, grace - EXIT_SECONDS)
    answer_within = max(0.0, end_after - WRITE_SECONDS)
    return DrainTiming(
        min_seconds=min_seconds,
        idle_seconds=idle_seconds,
        refuse_after=max(0.0, answer_within - MIN_REQUEST_SECONDS),
        answer_within=answer_within,
        end_after=end_after,
    )


def control_drain_timing(grace: float) -> DrainTiming:
    """Return the timing of a control host that is killed ``grace`` seconds later.

    It takes orders only for a moment: its callers use another control host at once.
    """
    end_after = max(0.0, grace - EXIT_SECONDS)
    return DrainTiming(
        min_seconds=0.0,
        idle_seconds=CONTROL_IDLE_SECONDS,
        refuse_after=min(CONTROL_TAKING_SECONDS, end_after),
        answer_within=end_after,
        end_after=end_after,
    )


@attrs.frozen(kw_only=True)
class DrainReport:
    """How a drain ended.

    ``cut`` are the requests that were read and left unanswered.
    """

    seconds: float
    end: DrainEnd
    cut: tuple[OpenRequest, ...]

    def log(self, component: str) -> None:
        """Log how the drain ended, and each request that it cut."""
        for request in self.cut[:MAX_LOGGED_REQUESTS]:
            logger.bind(
                request=request.request_id,
                method=request.method,
                path=request.path,
                state=request.state.value,
                seconds=request.seconds,
            ).warning(f"{component}: a request is cut by the end of the drain.")
        logger.bind(
            seconds=round(self.seconds, 3),
            end=self.end.value,
            cut=len(self.cut),
        ).info(f"{component}: drained.")


class Drain:
    """Decides which requests a stopping process takes, and when it may end.

    A request that was read is answered before the process ends: it is taken only if
    its deadline is before the end, and otherwise refused at once. Until the process is
    asked to stop, all are taken. Thread-safe.
    """

    def __init__(
        self, *, clock: Clock, timing: DrainTiming, stopping: StopSignal
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._stopping = stopping

    @property
    def is_started(self) -> bool:
        return self._stopping.is_set

    @property
    def is_refusing(self) -> bool:
        """Whether no request is taken any more."""
        return self.is_started and self._seconds() >= self._timing.refuse_after

    def may_take(self, deadline: float) -> bool:
        """Return whether a request with this deadline is surely answered in time."""
        started = self._stopping.requested_at
        if started is None:
            return True
        in_time = deadline <= started + self._timing.answer_within
        return in_time and not self.is_refusing

    def run(self, servers: Sequence[HttpServer]) -> DrainReport:
        """Return once the last request is answered, or at the limit of the drain.

        No server reads a request after that, unless the limit was reached.
        """
        end = self._serve_until_idle(servers)
        for server in servers:
            server.close_when_idle()
        while not all(server.is_closed for server in servers):
            if self.is_refusing:
                for server in servers:
                    server.refuse_waiting()
            if self._seconds() >= self._timing.end_after:
                end = DrainEnd.LIMIT
                break
            time.sleep(POLL_INTERVAL_SECONDS)
        cut = [request for server in servers for request in server.open_requests()]
        return DrainReport(seconds=self._seconds(), end=end, cut=tuple(cut))

    def _serve_until_idle(self, servers: Sequence[HttpServer]) -> DrainEnd:
        idle_since = self._clock.now()
        while not self.is_refusing:
            now = self._clock.now()
            if not all(server.is_idle for server in servers):
                idle_since = now
            is_idle = now - idle_since > self._timing.idle_seconds
            if is_idle and self._seconds() >= self._timing.min_seconds:
                return DrainEnd.IDLE
            time.sleep(POLL_INTERVAL_SECONDS)
        return DrainEnd.LIMIT

    def _seconds(self) -> float:
        return self._clock.now() - self._stopping.requested_at
