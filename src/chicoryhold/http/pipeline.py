"""Requests that are handled before it is their turn to be answered.

A caller may send further requests on a connection before the first is answered. Their
responses leave in order, but the requests needn't wait for each other.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from chicoryhold.clock import BootClock
from chicoryhold.http.body_buffers import DroppingBuffer, MappedBuffer
from chicoryhold.shared_memory import GUARANTEED_BYTES, Reservation, SharedMemory
from chicoryhold.targets.cancellation import Cancellation

MAX_PIPELINED_REQUESTS = 32  # read from one connection and not answered yet
MAX_PIPELINED_BYTES = 1_048_576  # of the same requests; one alone may have more
MAX_SIDE_BY_SIDE = 4  # requests of one connection that are handled at once

EARLY_RESPONSE = "chicoryhold.early_response"

_CLOCK = BootClock()


class OverlapRule(Protocol):
    """Whether a request may be handled beside others of the same connection."""

    def __call__(self, *, host: str, path: str) -> bool: ...


def overlaps_none(*, host: str, path: str) -> bool:
    """Return false: the default, one request of a connection after the other."""
    return False


class ReceivedRequest(HTTPRequestParser):
    """A request, complete or still being received.

    ``arrived_at`` is the boot-clock time at which its last byte so far was read.
    ``cancellation`` is set when nobody waits for its response any more.
    ``early_run`` handles it if that began, or is to begin, before its turn.
    ``is_body_refused`` means that there was no room in ``memory`` for its body, which
    is read and dropped, as most callers read no response before they have sent all. If
    the caller waits for leave to send the body, the request is complete without it. A
    body of known length gets its room before it is read, a chunked one as it grows.
    """

    arrived_at = 0.0
    cancellation: Cancellation | None = None
    early_run: EarlyRun | None = None
    is_body_refused = False
    _is_mapped = False

    def __init__(self, adj: Adjustments, memory: SharedMemory | None = None) -> None:
        super().__init__(adj)
        self._reservation = Reservation(memory or SharedMemory())

    def received(self, data: bytes) -> int:
        self.arrived_at = _CLOCK.now()
        count = super().received(data)
        if self.body_rcv is None or self.error or self.is_body_refused:
            return count
        size = self.body_bytes_received if self.chunked else self.content_length
        if not self._reservation.try_grow(size):
            self._refuse_body()
        elif size > GUARANTEED_BYTES:
            self._hold_in_mapping(size)
        return count

    def _hold_in_mapping(self, size: int) -> None:
        buffer = self.body_rcv.getbuf()
        if isinstance(buffer, MappedBuffer):
            return
        self.body_rcv.buf = MappedBuffer(size, on_free=self._reservation.end)
        self._is_mapped = True
        self.body_rcv.buf.append(buffer.getfile().read())
        buffer.close()

    def _refuse_body(self) -> None:
        self.is_body_refused = True
        self.release_body()
        self._is_mapped = False
        self.body_rcv.buf = DroppingBuffer()
        if self.expect_continue:
            self.completed = True
            self.expect_continue = False
            self.headers["CONNECTION"] = "close"

    def release_body(self) -> None:
        """Give back the room of the body; that of a mapping when it is freed."""
        if self._is_mapped:
            self.body_rcv.getbuf().close()
        else:
            self._reservation.end()

    def close(self) -> None:
        super().close()
        self.release_body()

    @property
    def host(self) -> str:
        return self.headers.get("HOST", "")

    @property
    def target(self) -> str:
        """The request target as it was sent, with its query."""
        return getattr(self, "request_uri", "")

    @property
    def early_response(self) -> CapturedResponse | None:
        return self.early_run.response if self.early_run else None

    @property
    def is_last(self) -> bool:
        """Whether its response closes the connection, whatever the response is."""
        connection = self.headers.get("CONNECTION", "").lower()
        if self.version == "1.1":
            return bool(self.error) or connection == "close"
        return bool(self.error) or connection != "keep-alive"


@attrs.frozen(kw_only=True)
class CapturedResponse:
    """The response of a WSGI application, or the error that it raised."""

    status: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: tuple[bytes, ...] = ()
    error: Exception | None = None

    @property
    def size(self) -> int:
        return sum(len(chunk) for chunk in self.body)

    def replay(self, start_response: Callable) -> tuple[bytes, ...]:
        """Respond as the application did. Raises its error if it raised one."""
        if self.error is not None:
            raise self.error
        start_response(self.status, list(self.headers))
        return self.body


def capture(app: Callable, environ: dict) -> CapturedResponse:
    """Call a WSGI application and keep its response."""
    started: list[tuple[str, tuple[tuple[str, str], ...]]] = []

    def start_response(status: str, headers: list, exc_info: object = None) -> None:
        started.append((status, tuple(headers)))

    try:
        chunks = app(environ, start_response)
        try:
            body = tuple(chunks)
        finally:
            if hasattr(chunks, "close"):
                chunks.close()
        status, headers = started[-1]
    except Exception as error:
        # The connection's own task raises it again, where the server handles it.
        return CapturedResponse(error=error)
    return CapturedResponse(status=status, headers=headers, body=body)


def with_early_responses(app: Callable) -> Callable:
    """Return a WSGI application that uses the response under ``EARLY_RESPONSE``."""

    def respond(environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = environ.get(EARLY_RESPONSE)
        if response is not None:
            return response.replay(start_response)
        return app(environ, start_response)

    return respond


class EarlyRunOwner(Protocol):
    """The connection of the request that is run early."""

    def run_early(self, request: ReceivedRequest) -> CapturedResponse | None:
        """Handle the request, unless its caller has left."""
        ...

    def resume(self) -> None:
        """Go on with the request whose turn it is."""
        ...


class EarlyRun:
    """A task that handles a request before its turn. Thread-safe.

    ``response`` is its result once it has ended.
    """

    def __init__(self, *, owner: EarlyRunOwner, request: ReceivedRequest) -> None:
        self.response: CapturedResponse | None = None
        self._owner = owner
        self._request = request
        self._has_begun = False
        self._has_ended = False
        self._is_awaited = False
        self._lock = threading.Lock()

    def service(self) -> None:
        """Handle the request if nothing else has begun to."""
        if not self._try_to_begin():
            return
        try:
            self.response = self._owner.run_early(self._request)
        finally:
            with self._lock:
                self._has_ended = True
                resume = self._is_awaited
            if resume:
                self._owner.resume()

    def cancel(self) -> None:
        """The server ends: the connection's own task is cancelled as well."""

    def may_respond(self) -> bool:
        """Return whether the request, whose turn it is, may be answered now.

        If it is being handled, the owner is resumed when that ends. If that hasn't
        begun, it won't any more: the caller of this method handles the request.
        """
        if self._try_to_begin():
            return True
        with self._lock:
            self._is_awaited = not self._has_ended
            return self._has_ended

    def _try_to_begin(self) -> bool:
        with self._lock:
            begins = not self._has_begun
            self._has_begun = True
            return begins
