"""The requests that no host may send at present."""

from __future__ import annotations

import threading
from collections.abc import Iterable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.digest import loggable
from chicoryhold.quarantine.messages import QuarantinedRequest

# A request is sent again after this time, which doubles with each further crash.
FIRST_QUARANTINE_SECONDS = 300.0
MAX_QUARANTINE_SECONDS = 4 * 3600.0
MAX_QUARANTINED = 512
RELEASE_VALID_SECONDS = 10.0  # a release is told to other hosts for this long
# Of decisions that are no further apart, a release counts, as messages take time.
MAX_MESSAGE_DELAY_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class _Entry:
    """``until`` is the end on the local clock; ``seconds`` the whole duration."""

    until: float
    decided_at: float
    seconds: float
    is_released: bool = False


class Quarantine:
    """Which requests aren't sent to targets, and until when. Thread-safe.

    Hosts exchange their entries; of two about the same request the later decision
    counts. Those that end first make room when there are too many. What other hosts
    decided ends ``extra_seconds`` later here: it differs between hosts, so that not all
    of them send the request again at the same time.
    """

    def __init__(
        self, *, clock: Clock, metrics: Metrics, extra_seconds: float = 0.0
    ) -> None:
        self._clock = clock
        self._extra_seconds = extra_seconds
        self._entries: dict[bytes, _Entry] = {}
        self._lock = threading.Lock()
        metrics.gauge("chicoryhold_quarantined_requests", lambda: len(self.active()))

    def active(self) -> tuple[bytes, ...]:
        """Return the requests that no host may send now."""
        now = self._clock.now()
        return tuple(
            request
            for request, entry in list(self._entries.items())
            if entry.until > now
        )

    def remaining(self, request: bytes) -> float:
        """Return for how many seconds ``request`` is quarantined, 0 if it isn't."""
        entry = self._entries.get(request)
        return max(0.0, entry.until - self._clock.now()) if entry else 0.0

    def has_ended(self, request: bytes) -> bool:
        """Whether the time of ``request`` is over without a success since."""
        entry = self._entries.get(request)
        if entry is None or entry.is_released:
            return False
        return entry.until <= self._clock.now()

    def add(self, request: bytes) -> None:
        """Quarantine ``request`` from now on."""
        now = self._clock.now()
        with self._lock:
            seconds = FIRST_QUARANTINE_SECONDS
            previous = self._entries.get(request)
            if previous is not None and not previous.is_released:
                seconds = min(MAX_QUARANTINE_SECONDS, 2 * previous.seconds)
            entry = _Entry(until=now + seconds, decided_at=now, seconds=seconds)
            self._set(request, entry)

    def release(self, request: bytes) -> bool:
        """Let ``request`` be sent again; return whether it was quarantined."""
        with self._lock:
            entry = self._entries.get(request)
            if entry is None or entry.until <= self._clock.now():
                return False
            self._release(request, decided_at=self._clock.now())
            return True

    def merge(self, requests: Iterable[QuarantinedRequest]) -> bool:
        """Take the decisions of another host; return whether any was news."""
        with self._lock:
            return any([self._merge(each) for each in requests])

    def all(self) -> tuple[QuarantinedRequest, ...]:
        """Return what other hosts need to know."""
        now = self._clock.now()
        return tuple(
            QuarantinedRequest(
                request=request,
                remaining=max(0.0, entry.until - now),
                age=now - entry.decided_at,
            )
            for request, entry in list(self._entries.items())
            if entry.until > now or now - entry.decided_at < RELEASE_VALID_SECONDS
        )

    def _merge(self, other: QuarantinedRequest) -> bool:
        now = self._clock.now()
        decided_at = now - max(0.0, other.age)
        known = self._entries.get(other.request)
        is_active = known is not None and known.until > now
        if is_active == (other.remaining > 0):
            return False
        if is_active:
            return self._merge_release(other.request, known, decided_at)
        if known is not None and decided_at <= known.decided_at + (
            MAX_MESSAGE_DELAY_SECONDS if known.is_released else 0.0
        ):
            return False
        remaining = min(MAX_QUARANTINE_SECONDS, other.remaining)
        entry = _Entry(
            until=now + remaining + self._extra_seconds,
            decided_at=decided_at,
            seconds=max(FIRST_QUARANTINE_SECONDS, remaining),
        )
        self._set(other.request, entry)
        return True

    def _merge_release(self, request: bytes, known: _Entry, decided_at: float) -> bool:
        if decided_at < known.decided_at - MAX_MESSAGE_DELAY_SECONDS:
            return False
        self._release(request, decided_at=decided_at)
        return True

    def _release(self, request: bytes, *, decided_at: float) -> None:
        entry = self._entries[request]
        self._entries[request] = attrs.evolve(
            entry, until=self._clock.now(), decided_at=decided_at, is_released=True
        )
        logger.bind(request_digest=loggable(request)).warning(
            "quarantine: a request is released."
        )

    def _set(self, request: bytes, entry: _Entry) -> None:
        self._entries[request] = entry
        if len(self._entries) > MAX_QUARANTINED:
            first = min(self._entries, key=lambda each: self._entries[each].until)
            del self._entries[first]
        seconds = round(entry.until - self._clock.now(), 1)
        logger.bind(request_digest=loggable(request), seconds=seconds).warning(
            "quarantine: a request crashes targets; no host sends it."
        )
