"""Records of a run with stopping hosts: requests, their arrivals, lives of hosts."""

from __future__ import annotations

import enum
import threading
import time
from collections import defaultdict
from collections.abc import Mapping, Sequence

import attrs


class Ending(enum.Enum):
    """How a request ended for its client."""

    ANSWERED = "answered in full"
    CLOSED = "connection closed after all its bytes were read"
    RESET = "connection reset"
    GARBLED = "answered with bytes that aren't a response"
    ABANDONED = "closed by the client"


@attrs.define(kw_only=True)
class Freeze:
    """A time between SIGSTOP and SIGCONT."""

    began_at: float
    ended_at: float | None = None


@attrs.define(kw_only=True)
class HostLife:
    """One process of an entry host, from its start to its exit.

    Times are on the monotonic clock. ``stopped_at`` is the time of the first signal
    that asks the process to stop. A freeze that goes on has no end.
    """

    host: str
    number: int
    started_at: float
    stopped_at: float | None = None
    exited_at: float | None = None
    exit_code: int | None = None
    killed: bool = False
    freezes: list[Freeze] = attrs.field(factory=list)
    stopping: threading.Event = attrs.field(factory=threading.Event, repr=False)

    def after_stop(self, moment: float | None) -> float | None:
        """Return how many seconds after the stop signal ``moment`` was."""
        if moment is None or self.stopped_at is None:
            return None
        return round(moment - self.stopped_at, 3)

    def was_frozen(self, since: float, until: float) -> bool:
        """Return whether the process stood still at a moment between these two."""
        return any(
            freeze.began_at <= until and (freeze.ended_at or until) >= since
            for freeze in self.freezes
        )


@attrs.define(kw_only=True)
class SentRequest:
    """A request as its client saw it.

    ``began_at`` is the time at which its first byte was sent, ``sent_at`` that of its
    last byte, each ``None`` before that.
    ``body_bytes`` and ``answer_bytes`` are the sizes of the request's and the expected
    response's bodies. ``sealed`` means that the response carried the target's
    ``Server-Seal``, and ``answered_by`` is the incarnation that the seal names.
    ``says_leaving`` means that the response carried ``Server-Leaving``.
    """

    request_id: str
    client: str
    life: HostLife
    safe: bool
    deadline_seconds: float
    body_bytes: int
    answer_bytes: int
    began_at: float | None = None
    sent_at: float | None = None
    ended_at: float | None = None
    ending: Ending | None = None
    status: int = 0
    received_bytes: int = 0
    partial_head: bytes = b""
    received_body_bytes: int = 0
    sealed: bool = False
    answered_by: str = ""
    says_leaving: bool = False

    @property
    def sent_after_stop(self) -> bool:
        """Whether its last byte was sent after the host's stop signal."""
        stopped_at = self.life.stopped_at
        return None not in (self.sent_at, stopped_at) and self.sent_at > stopped_at

    @property
    def deadline_at(self) -> float | None:
        return None if self.sent_at is None else self.sent_at + self.deadline_seconds


@attrs.define(kw_only=True)
class Arrival:
    """A request as a target saw it.

    ``target`` is the target's incarnation, ``source`` the address that it came from.
    ``read_at`` is the time at which it was complete, ``broken_at`` the time at which
    its connection ended before the answer was written.
    """

    request_id: str
    target: str
    arrived_at: float
    source: str = ""
    read_at: float | None = None
    answered_at: float | None = None
    broken_at: float | None = None

    @property
    def ended_at(self) -> float | None:
        return self.answered_at or self.broken_at


class Ledger:
    """All records of a run. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._requests: list[SentRequest] = []
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        self._lives: list[HostLife] = []
        self._refused_connects = 0

    @property
    def requests(self) -> Sequence[SentRequest]:
        return tuple(self._requests)

    @property
    def arrivals(self) -> Mapping[str, Sequence[Arrival]]:
        return self._arrivals

    @property
    def lives(self) -> Sequence[HostLife]:
        return tuple(self._lives)

    @property
    def refused_connects(self) -> int:
        return self._refused_connects

    def add_request(self, request: SentRequest) -> None:
        with self._lock:
            self._requests.append(request)

    def add_arrival(self, request_id: str, target: str, *, source: str = "") -> Arrival:
        arrival = Arrival(
            request_id=request_id,
            target=target,
            source=source,
            arrived_at=time.monotonic(),
        )
        with self._lock:
            self._arrivals[request_id].append(arrival)
        return arrival

    def add_life(self, life: HostLife) -> None:
        with self._lock:
            self._lives.append(life)

    def count_refused_connect(self) -> None:
        with self._lock:
            self._refused_connects += 1
