"""Serves WSGI applications with waitress."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger
from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer, create_server
from waitress.task import WSGITask

from chicoryhold.clock import BootClock
from chicoryhold.crash import create_critical_thread
from chicoryhold.errors import AddressInUse
from chicoryhold.targets.cancellation import Cancellation

QUEUED_REQUESTS = "chicoryhold.queued_requests"
ARRIVED_AT = "chicoryhold.arrived_at"
CANCELLATION = "chicoryhold.cancellation"
MAX_CONNECTIONS = 1_000
POLL_TIMEOUT_SECONDS = 5  # new work and finished responses end a poll at once
LOOKAHEAD_REQUESTS = 1  # reading past a request detects that its caller disconnected
DEFAULT_IDLE_TIMEOUT_SECONDS = 30
MAX_HEADER_BYTES = 65_536
CALLER_PROBE_IDLE_SECONDS = 10
CALLER_PROBE_INTERVAL_SECONDS = 5
CALLER_LOSS_TIMEOUT_SECONDS = 20  # two probes may be lost
DEFAULT_MAX_BODY_BYTES = 1_048_576

# A caller that vanished without closing its connection would keep it open until the
# idle timeout, and during a request for minutes. TCP_USER_TIMEOUT decides when the
# kernel gives up, for unacknowledged responses and for probes.
_CALLER_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, CALLER_PROBE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, CALLER_PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, CALLER_LOSS_TIMEOUT_SECONDS * 1000),
]

_CLOCK = BootClock()


def never() -> bool:
    """Return false: the default for a server that keeps its connections open."""
    return False


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


def _channel_class(should_close: Callable[[], bool]) -> type[HTTPChannel]:
    """Return a channel class for waitress that extends the WSGI environment.

    The environment holds under ``QUEUED_REQUESTS`` the number of requests that wait
    for a thread, because waitress doesn't bound that queue; under ``ARRIVED_AT`` the
    boot-clock time at which the request was received in full; and under
    ``CANCELLATION`` a ``Cancellation`` that is set when the caller disconnects.

    While ``should_close()`` is true, the channel closes its connection after each
    response. WSGI forbids an application to send the Connection header, and waitress
    responds with 500 if one does, so the channel's task sets it instead.
    """

    class Task(WSGITask):
        def get_environment(self) -> dict:
            environ = super().get_environment()
            channel = self.channel
            environ[QUEUED_REQUESTS] = len(channel.server.task_dispatcher.queue)
            environ[ARRIVED_AT] = channel.arrived_at
            environ[CANCELLATION] = channel.new_cancellation()
            return environ

        def build_response_header(self) -> bytes:
            if should_close():
                self.request.headers["CONNECTION"] = "close"
            return super().build_response_header()

    class Channel(HTTPChannel):
        task_class = Task
        arrived_at = 0.0
        cancellation: Cancellation | None = None

        def received(self, data: bytes) -> bool:
            self.arrived_at = _CLOCK.now()
            return super().received(data)

        def new_cancellation(self) -> Cancellation:
            self.cancellation = Cancellation()
            if not self.connected or has_ended(self.socket):
                self.cancellation.set()
            return self.cancellation

        def handle_close(self) -> None:
            super().handle_close()
            if self.cancellation is not None:
                self.cancellation.set()

    return Channel


@contextmanager
def serve_http(
    app: Callable, address: str, *, threads: int,
    should_close: Callable[[], bool] = never,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    idle_timeout_seconds: int = DEFAULT_IDLE_TIMEOUT_SECONDS,
) -> Iterator[int]:  # fmt: skip
    """Serve a WSGI application in a background thread and yield the port.

    ``max_body_bytes`` limits the body of a request, ``idle_timeout_seconds`` how long a
    connection may stay idle. While ``should_close()`` is true, connections are closed
    after their next response.
    """
    host, _, port = address.rpartition(":")
    try:
        server = create_server(
            app,
            host=host,
            port=int(port),
            threads=threads,
            ident=None,
            clear_untrusted_proxy_headers=True,
            connection_limit=MAX_CONNECTIONS,
            channel_timeout=idle_timeout_seconds,
            channel_request_lookahead=LOOKAHEAD_REQUESTS,
            asyncore_use_poll=True,
            asyncore_loop_timeout=POLL_TIMEOUT_SECONDS,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=max_body_bytes,
            log_socket_errors=False,
        )
    except OSError as error:
        raise AddressInUse(
            f"can't listen on {address}: {error.strerror}; stop the other process or "
            "change the address in the settings"
        ) from error
    server.channel_class = _channel_class(should_close)
    server.adj.socket_options = _CALLER_SOCKET_OPTIONS
    closing = threading.Event()
    create_critical_thread(lambda: _run_server(server, closing), name="http").start()
    try:
        yield server.effective_port
    finally:
        closing.set()
        server.close()


def _run_server(server: BaseWSGIServer, closing: threading.Event) -> None:
    """Serve until ``server`` is closed; raise if that fails before ``closing``."""
    try:
        server.run()
    except Exception as error:
        if not closing.is_set():
            raise
        # Another thread closes the sockets that this one polls.
        logger.debug("http: the server stopped with an error: {!r}", error)
