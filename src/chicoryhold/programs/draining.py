"""Ends the service of a process that was asked to stop: the requests in flight."""

from __future__ import annotations

import enum
import time
from collections.abc import Iterable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.http_channel import OpenRequest, RequestState
from chicoryhold.http_server import HttpServer

POLL_INTERVAL_SECONDS = 0.05
MAX_LOGGED_REQUESTS = 50  # lines a second are limited


class DrainEnd(enum.Enum):
    """Why a drain ended."""

    IDLE = "idle"
    LIMIT = "limit"


@attrs.frozen(kw_only=True)
class DrainTiming:
    """How long a stopping process drains, in seconds from the start of the drain on.

    It drains for at least ``min_seconds`` and at most ``max_seconds``. In between, it
    stops once no request has been in flight for ``idle_seconds``.
    """

    min_seconds: float = 1.5
    max_seconds: float = 5.0
    idle_seconds: float = 0.5


@attrs.frozen(kw_only=True)
class DrainReport:
    """How a drain ended. ``cut`` are the requests that it left unanswered."""

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
            seconds=round(self.seconds, 3), end=self.end.value, cut=len(self.cut)
        ).info(f"{component}: drained.")


def wait_until_idle(
    servers: Iterable[HttpServer], *, clock: Clock, timing: DrainTiming
) -> DrainReport:
    """Return once the host is idle or has drained for ``timing.max_seconds``."""
    servers = tuple(servers)
    started = clock.now()
    idle_since = started
    end = DrainEnd.LIMIT
    while (elapsed := clock.now() - started) < timing.max_seconds:
        if any(is_running(request) for request in _open_requests(servers)):
            idle_since = clock.now()
        if (
            elapsed > timing.min_seconds
            and clock.now() - idle_since > timing.idle_seconds
        ):
            end = DrainEnd.IDLE
            break
        time.sleep(POLL_INTERVAL_SECONDS)
    return DrainReport(
        seconds=clock.now() - started, end=end, cut=_open_requests(servers)
    )


def is_running(request: OpenRequest) -> bool:
    return request.state is RequestState.RUNNING


def _open_requests(servers: Iterable[HttpServer]) -> tuple[OpenRequest, ...]:
    return tuple(request for server in servers for request in server.open_requests())
