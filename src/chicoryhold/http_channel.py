"""A waitress channel: one connection of a caller, and the requests read from it."""

from __future__ import annotations

import enum
import socket

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
        if self.channel.server.should_close():
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class Channel(HTTPChannel):
    """A connection of a caller.

    Its ``server`` has an attribute ``should_close``, a function that returns whether
    connections are closed after their next response, and ``request_id_header``, the
    name under which waitress keeps that header.
    """

    task_class = Task
    arrived_at = 0.0
    cancellation: Cancellation | None = None
    _running: HTTPRequestParser | None = None
    _answered: HTTPRequestParser | None = None

    def received(self, data: bytes) -> bool:
        self.arrived_at = _CLOCK.now()
        return super().received(data)

    def service(self) -> None:
        self._running = self.requests[0]
        try:
            super().service()
        finally:
            self._answered, self._running = self._running, None

    def new_cancellation(self) -> Cancellation:
        self.cancellation = Cancellation()
        if not self.connected or has_ended(self.socket):
            self.cancellation.set()
        return self.cancellation

    def handle_close(self) -> None:
        super().handle_close()
        if self.cancellation is not None:
            self.cancellation.set()

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
        if self.total_outbufs_len and not found and self._answered is not None:
            found.append(self._describe(self._answered, RequestState.RESPONDING))
        partial = self.request
        if partial is not None:
            found.append(self._describe(partial, RequestState.RECEIVING))
        return found

    def _describe(self, request: HTTPRequestParser, state: RequestState) -> OpenRequest:
        headers = request.headers
        return OpenRequest(
            request_id=headers.get(self.server.request_id_header, ""),
            method=getattr(request, "command", ""),
            path=getattr(request, "path", ""),
            state=state,
            seconds=round(_CLOCK.now() - self.arrived_at, 3),
        )
