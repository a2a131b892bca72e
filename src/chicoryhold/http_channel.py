"""A waitress channel: one connection of a caller, and the requests read from it."""

from __future__ import annotations

import enum
import fcntl
import socket
import struct
import termios
import threading
import time
from collections.abc import Callable

import attrs
from loguru import logger
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import WSGITask

from chicoryhold.clock import BootClock
from chicoryhold.targets.cancellation import Cancellation

QUEUED_REQUESTS = "chicoryhold.queued_requests"
ARRIVED_AT = "chicoryhold.arrived_at"
CANCELLATION = "chicoryhold.cancellation"
LINGER_SECONDS = 2.0
MAX_LINGERING = 32  # threads
LINGER_CHECK_SECONDS = 0.02

_CLOCK = BootClock()


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


def has_ended(connection: socket.socket) -> bool:
    """Return whether the peer has closed ``connection`` and nothing is left to read.

    The thread that reads finds out too, but late if the process gets little processor
    time: then the request and its end are read together.
    """
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug("http: a caller's connection is broken: {}.", error)
        return True


def has_unread(connection: socket.socket) -> bool:
    """Return whether the peer has sent something that wasn't read."""
    try:
        return bool(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing was sent, or the connection is broken: nothing can be read.
        return False


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return how much was written that the peer's kernel hasn't received yet."""
    try:
        answer = fcntl.ioctl(connection, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError as error:
        logger.debug("http: unacknowledged bytes aren't known: {}.", error)
        return 0
    return struct.unpack("i", answer)[0]


def _close_when_delivered(
    connection: socket.socket, lingering: set[socket.socket]
) -> None:
    """Close ``connection`` once its peer has received all, or in ``LINGER_SECONDS``."""
    until = _CLOCK.now() + LINGER_SECONDS
    while unacknowledged_bytes(connection) and _CLOCK.now() < until:
        time.sleep(LINGER_CHECK_SECONDS)
    connection.close()
    lingering.discard(connection)


class Task(WSGITask):
    """Runs the application for one request and writes its response.

    The WSGI environment holds under ``QUEUED_REQUESTS`` the number of requests that
    wait for a thread, because waitress doesn't bound that queue; under ``ARRIVED_AT``
    the boot-clock time at which the request was received in full; and under
    ``CANCELLATION`` a ``Cancellation`` that is set when the caller disconnects.

    WSGI forbids an application to send the Connection header, and waitress responds
    with 500 if one does, so the task sets it instead.
    """

    def get_environment(self) -> dict:
        environ = super().get_environment()
        channel = self.channel
        environ[QUEUED_REQUESTS] = len(channel.server.task_dispatcher.queue)
        environ[ARRIVED_AT] = channel.arrived_at
        environ[CANCELLATION] = channel.new_cancellation()
        return environ

    def build_response_header(self) -> bytes:
        channel = self.channel
        if channel.server.state.should_close() and channel.try_to_stop_reading():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


@attrs.define(kw_only=True)
class ServerState:
    """What the channels of one server share: what they are to do, and what is open.

    While ``should_close()`` is true, connections are closed after their next response.
    While ``closes_idle`` is set, they are closed as soon as they are idle. While
    ``refuses`` is set, the application refuses every request, so the rest of a request
    that is still being received isn't waited for. ``request_id_header`` is the name
    under which waitress keeps that header.

    ``running`` are the channels whose request is being handled, also if their caller
    has left. ``lingering`` are sockets that are closed once their peer has got all.
    """

    should_close: Callable[[], bool]
    request_id_header: str = ""
    closes_idle: bool = False
    refuses: bool = False
    running: set[Channel] = attrs.field(factory=set)
    lingering: set[socket.socket] = attrs.field(factory=set)


class Channel(HTTPChannel):
    """A connection of a caller. Its ``server.state`` is a ``ServerState``.

    Only one thread reads, that of the server, and it also closes idle connections, so
    no request is read from a connection that is then closed as idle.
    """

    task_class = Task
    arrived_at = 0.0
    cancellation: Cancellation | None = None
    _has_stopped_reading = False
    _running: HTTPRequestParser | None = None
    _last_answered: HTTPRequestParser | None = None

    def __init__(self, *args: object, **kwargs: object) -> None:
        self._read_lock = threading.Lock()
        super().__init__(*args, **kwargs)

    @property
    def is_idle(self) -> bool:
        """Whether each request that was read is answered in full."""
        return not (self.requests or self._has_partial() or self.total_outbufs_len)

    def readable(self) -> bool:
        state = self.server.state
        if state.refuses:
            self._end_partial_request()
        if state.closes_idle and self.is_idle and not has_unread(self.socket):
            self.will_close = True
        return not self._has_stopped_reading and super().readable()

    def handle_read(self) -> None:
        with self._read_lock:
            if not self._has_stopped_reading:
                super().handle_read()

    def received(self, data: bytes) -> bool:
        self.arrived_at = _CLOCK.now()
        return super().received(data)

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
        self._running = request
        running = self.server.state.running
        running.add(self)
        try:
            super().service()
        finally:
            # Another thread may have begun the next request of this channel.
            if self._running is request:
                self._last_answered, self._running = request, None
                running.discard(self)

    def new_cancellation(self) -> Cancellation:
        self.cancellation = Cancellation()
        if not self.connected or has_ended(self.socket):
            self.cancellation.set()
        return self.cancellation

    def handle_close(self) -> None:
        if self._has_stopped_reading and self.connected:
            self._linger_if_needed()
        super().handle_close()
        if self.cancellation is not None:
            self.cancellation.set()

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
            target=_close_when_delivered, args=(copy, lingering), daemon=True
        ).start()

    def open_requests(self) -> list[OpenRequest]:
        """Return the requests that were read and aren't answered in full."""
        running = self._running
        found = [
            self._describe(
                request,
                RequestState.RUNNING if request is running else RequestState.QUEUED,
            )
            for request in tuple(self.requests)
        ]
        if self.total_outbufs_len and not found and self._last_answered is not None:
            found.append(self._describe(self._last_answered, RequestState.RESPONDING))
        partial = self.request
        if partial is not None:
            found.append(self._describe(partial, RequestState.RECEIVING))
        return found

    def _describe(self, request: HTTPRequestParser, state: RequestState) -> OpenRequest:
        headers = request.headers
        return OpenRequest(
            request_id=headers.get(self.server.state.request_id_header, ""),
            method=getattr(request, "command", ""),
            path=getattr(request, "path", ""),
            state=state,
            seconds=round(_CLOCK.now() - self.arrived_at, 3),
        )
