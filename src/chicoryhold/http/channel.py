"""A waitress channel: one connection of a caller, and the requests read from it."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from chicoryhold.clock import BootClock
from chicoryhold.http.caller_sockets import (
    close_when_delivered,
    has_ended,
    has_unread,
    unacknowledged_bytes,
)
from chicoryhold.http.open_requests import OpenRequest, RequestState
from chicoryhold.http.pipeline import (
    EARLY_RESPONSE,
    MAX_PIPELINED_BYTES,
    MAX_SIDE_BY_SIDE,
    CapturedResponse,
    EarlyRun,
    ReceivedRequest,
    capture,
)
from chicoryhold.targets.cancellation import Cancellation

QUEUED_REQUESTS = "chicoryhold.queued_requests"
ARRIVED_AT = "chicoryhold.arrived_at"
CANCELLATION = "chicoryhold.cancellation"
HAS_LEFT = "chicoryhold.has_left"
BODY_REFUSED = "chicoryhold.body_refused"
# With more left to send, the thread that sends may itself wait until it is sent.
MAX_UNPOLLED_BYTES = 1_048_576
UNUSED_SECONDS = 2.0  # a new connection without a request counts as idle then
MAX_LINGERING = 32  # threads

_CLOCK = BootClock()


class Task(WSGITask):
    """Runs the application for one request and writes its response.

    The WSGI environment holds under ``QUEUED_REQUESTS`` the number of requests that
    wait for a thread, because waitress doesn't bound that queue; under ``ARRIVED_AT``
    the boot-clock time at which the request was received in full; and under
    ``CANCELLATION`` a ``Cancellation`` that is set when the caller disconnects; and
    under ``HAS_LEFT`` a function that returns whether the caller has disconnected by
    now, for a host that may have been paused since it read the request. Under
    ``BODY_REFUSED`` is whether there was no room for its body.

    WSGI forbids an application to send the Connection header, and waitress responds
    with 500 if one does, so the task sets it instead.
    """

    def get_environment(self) -> dict:
        early_response = self.request.early_response
        if early_response is not None:
            return {EARLY_RESPONSE: early_response}
        environ = super().get_environment()
        channel = self.channel
        environ[QUEUED_REQUESTS] = len(channel.server.task_dispatcher.queue)
        environ[ARRIVED_AT] = self.request.arrived_at
        environ[CANCELLATION] = channel.new_cancellation(self.request)
        environ[HAS_LEFT] = lambda: channel.has_left
        environ[BODY_REFUSED] = self.request.is_body_refused
        return environ

    def write(self, data: bytes) -> None:
        with self.channel.gathering():
            super().write(data)

    def build_response_header(self) -> bytes:
        channel = self.channel
        if channel.server.state.should_close() and channel.try_to_stop_reading():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class Channel(HTTPChannel):
    """A connection of a caller. Its ``server.state`` is a ``ServerState``.

    Only one thread reads, that of the server, and it also closes idle connections, so
    no request is read from a connection that is then closed as idle.
    """

    task_class = Task
    _has_stopped_reading = False
    _last_answered: ReceivedRequest | None = None
    _gathered: list[bytes] | None = None

    def __init__(self, *args: object, **kwargs: object) -> None:
        self._read_lock = threading.Lock()
        self._cancellable: set[ReceivedRequest] = set()
        super().__init__(*args, **kwargs)

    def parser_class(self, adj: Adjustments) -> ReceivedRequest:
        return ReceivedRequest(adj, self.server.state.body_memory)

    @property
    def is_idle(self) -> bool:
        """Whether each request that was read is answered in full."""
        return not (self.requests or self._has_partial() or self.total_outbufs_len)

    @property
    def has_left(self) -> bool:
        """Whether the caller has closed the connection, as far as the kernel knows."""
        return not self.connected or has_ended(self.socket)

    @property
    def may_be_closed(self) -> bool:
        """Whether it is idle, and its next request is not likely to be on its way."""
        age = time.time() - self.creation_time
        was_used = self._last_answered is not None or age > UNUSED_SECONDS
        return was_used and self.is_idle and not has_unread(self.socket)

    def readable(self) -> bool:
        state = self.server.state
        if state.refuses:
            self._end_partial_request()
        if state.closes_idle and self.is_idle and not has_unread(self.socket):
            self.will_close = True
        may_read = not self._has_stopped_reading and self._has_room()
        return may_read and super().readable()

    def _has_room(self) -> bool:
        """Whether more requests may be read before the first is answered."""
        requests = tuple(self.requests)
        if len(requests) <= 1:
            return True
        return sum(r.body_bytes_received for r in requests) < MAX_PIPELINED_BYTES

    def writable(self) -> bool:
        """Whether this thread is to send what is left, or to close the connection.

        While the thread that handles a request sends, this one couldn't, and would poll
        again and again. The other one wakes it if something is left to send.
        """
        if not super().writable():
            return False
        if self.total_outbufs_len > MAX_UNPOLLED_BYTES:
            return True
        if not self.outbuf_lock.acquire(blocking=False):
            return False
        self.outbuf_lock.release()
        return True

    @contextmanager
    def gathering(self) -> Iterator[None]:
        """Send what is written in the block at its end, in one piece.

        The header and the body of a short response then need one call and one packet.
        """
        self._gathered = []
        try:
            yield
        finally:
            data, self._gathered = b"".join(self._gathered), None
        self.write_soon(data)

    def write_soon(self, data: bytes) -> int:
        if self._gathered is not None:
            self._gathered.append(data)
            return len(data)
        written = super().write_soon(data)
        if self.total_outbufs_len:
            # The server's thread may have found the output still locked.
            self.server.pull_trigger()
        return written

    def handle_read(self) -> None:
        with self._read_lock:
            if not self._has_stopped_reading:
                super().handle_read()

    def received(self, data: bytes) -> bool:
        """Take what was read, or drop it if its caller has left meanwhile.

        A host that is short of processor time finds many such requests. To handle them
        would keep it from reaching those whose callers still wait.
        """
        state = self.server.state
        if state.drops_departed and not self.requests and has_ended(self.socket):
            state.departures.record()
            self.handle_close()
            return False
        result = super().received(data)
        if any(r.is_body_refused and r.is_last for r in tuple(self.requests)):
            self._has_stopped_reading = True
        self._begin_early_runs()
        return result

    def try_to_stop_reading(self) -> bool:
        """Read no further request, and return whether the current one is the last.

        If the next one has been read, even in part, it must be answered first.
        """
        with self._read_lock:
            if len(self.requests) > 1 or self._has_partial():
                return False
            self._has_stopped_reading = True
            return True

    def _has_partial(self) -> bool:
        """Whether a request is being received. Blank lines before one don't count."""
        request = self.request
        if request is None:
            return False
        return request.headers_finished or bool(request.header_plus.strip())

    def _end_partial_request(self) -> None:
        """Have a request that is being received refused without its rest.

        What has arrived already is read first: it may be the rest.
        """
        with self.requests_lock:
            request = self.request
            if not self._has_partial() or self.requests or has_unread(self.socket):
                return
            self._has_stopped_reading = True
            if not request.headers_finished:
                self.will_close = True
                return
            request.completed = True
            self.request = None
            self.requests.append(request)
            self.server.add_task(self)

    def service(self) -> None:
        request = self.requests[0]
        early_run = request.early_run
        if early_run is not None and not early_run.may_respond():
            return
        with self._handling(request):
            super().service()
        self._last_answered = request
        if self.close_when_flushed or self.will_close:
            self._cancel_all()
        else:
            self._begin_early_runs()

    @contextmanager
    def _handling(self, request: ReceivedRequest) -> Iterator[None]:
        running = self.server.state.running
        running[request] = self
        try:
            yield
        finally:
            running.pop(request, None)
            self._cancellable.discard(request)

    def _begin_early_runs(self) -> None:
        """Have requests handled beside the one whose turn it is, where allowed."""
        if len(self.requests) < 2:
            return
        with self.requests_lock:
            if self.close_when_flushed or self.will_close or not self.connected:
                return
            for request in self._side_by_side()[1:]:
                if request.early_run is None:
                    request.early_run = EarlyRun(owner=self, request=request)
                    self.server.add_task(request.early_run)

    def _side_by_side(self) -> list[ReceivedRequest]:
        """Return the first requests, as far as they may be handled at once."""
        may_overlap = self.server.state.may_overlap
        found: list[ReceivedRequest] = []
        kept_bytes = 0
        for request in self.requests[:MAX_SIDE_BY_SIDE]:
            path = request.target.partition("?")[0]
            if request.error or not may_overlap(host=request.host, path=path):
                break
            if request.early_response is not None:
                kept_bytes += request.early_response.size
            if kept_bytes > MAX_PIPELINED_BYTES:
                break
            found.append(request)
            if request.is_last:
                break
        return found

    def run_early(self, request: ReceivedRequest) -> CapturedResponse | None:
        """Handle ``request`` before its turn, unless its caller has left."""
        with self._handling(request):
            environ = self.task_class(self, request).get_environment()
            # An earlier response may have closed the connection just now.
            if environ[CANCELLATION].is_set or request not in self.requests:
                return None
            return capture(self.server.application, environ)

    def resume(self) -> None:
        """Answer the request whose turn it is: its early run has ended."""
        if self.requests:
            self.server.add_task(self)

    def new_cancellation(self, request: ReceivedRequest) -> Cancellation:
        request.cancellation = cancellation = Cancellation()
        self._cancellable.add(request)
        if not self.connected or has_ended(self.socket):
            cancellation.set()
        return cancellation

    def _cancel_all(self) -> None:
        """Cancel the requests that are being handled: nobody gets their responses."""
        for request in tuple(self._cancellable):
            request.cancellation.set()

    def handle_close(self) -> None:
        if self._has_stopped_reading and self.connected:
            self._linger_if_needed()
        super().handle_close()
        if self.request is not None:
            self.request.release_body()
        self._cancel_all()

    def _linger_if_needed(self) -> None:
        """Let the peer receive the last response although it has sent more.

        The kernel resets a connection that is closed with data unread, and drops what
        the peer hasn't received yet.
        """
        if not (has_unread(self.socket) and unacknowledged_bytes(self.socket)):
            return
        lingering = self.server.state.lingering
        if len(lingering) >= MAX_LINGERING:
            return
        copy = self.socket.dup()
        lingering.add(copy)
        threading.Thread(
            target=close_when_delivered, args=(copy, lingering), daemon=True
        ).start()

    def open_requests(self) -> list[OpenRequest]:
        """Return the requests that were read and aren't answered in full."""
        found = [
            self._describe(request, self._state_of(request))
            for request in tuple(self.requests)
        ]
        if self.total_outbufs_len and not found and self._last_answered is not None:
            found.append(self._describe(self._last_answered, RequestState.RESPONDING))
        partial = self.request
        if partial is not None:
            found.append(self._describe(partial, RequestState.RECEIVING))
        return found

    def _state_of(self, request: ReceivedRequest) -> RequestState:
        if request in self.server.state.running:
            return RequestState.RUNNING
        if request.early_response is not None:
            return RequestState.RESPONDING
        return RequestState.QUEUED

    def _describe(self, request: ReceivedRequest, state: RequestState) -> OpenRequest:
        headers = request.headers
        return OpenRequest(
            request_id=headers.get(self.server.state.request_id_header, ""),
            method=getattr(request, "command", ""),
            path=getattr(request, "path", ""),
            state=state,
            seconds=round(_CLOCK.now() - request.arrived_at, 3),
        )
