"""Serves WSGI applications with waitress."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

from loguru import logger
from waitress import wasyncore
from waitress.server import BaseWSGIServer, create_server

from chicoryhold.clock import BootClock
from chicoryhold.crash import create_critical_thread
from chicoryhold.errors import AddressInUse
from chicoryhold.http.channel import Channel
from chicoryhold.http.connection_room import ConnectionRoom
from chicoryhold.http.open_requests import OpenRequest
from chicoryhold.http.pipeline import (
    MAX_PIPELINED_REQUESTS,
    OverlapRule,
    overlaps_none,
    with_early_responses,
)
from chicoryhold.http.request_threads import RequestThreads
from chicoryhold.http.server_state import ServerState
from chicoryhold.shared_memory import SharedMemory

DEFAULT_MAX_CONNECTIONS = 1_000
# Beyond the limit, connections are accepted while idle ones are closed for them.
HARD_LIMIT_FACTOR = 1.2
POLL_TIMEOUT_SECONDS = 5  # new work and finished responses end a poll at once
DEFAULT_IDLE_TIMEOUT_SECONDS = 30
MAX_HEADER_BYTES = 65_536
CALLER_PROBE_IDLE_SECONDS = 10
CALLER_PROBE_INTERVAL_SECONDS = 5
CALLER_LOSS_TIMEOUT_SECONDS = 20  # two probes may be lost
DEFAULT_MAX_BODY_BYTES = 1_048_576
REFUSING_THREADS = 4  # those that handle requests may all be waiting for targets
MAX_LAST_ACCEPTS = 1_024  # the kernel's queue of new connections isn't longer

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


def never() -> bool:
    """Return false: the default for a server that keeps its connections open."""
    return False


class HttpServer:
    """A running server. Thread-safe."""

    def __init__(self, *, server: BaseWSGIServer, state: ServerState) -> None:
        self._server = server
        self._state = state
        self._accepts = True

    @property
    def port(self) -> str:
        return self._server.effective_port

    @property
    def thread_count(self) -> int:
        """The number of threads that handle requests or wait for some."""
        return self._server.task_dispatcher.thread_count

    @property
    def is_idle(self) -> bool:
        """Whether each request that was read is answered in full."""
        return all(channel.is_idle for channel in self._channels())

    @property
    def is_closing(self) -> bool:
        return self._state.closes_idle

    @property
    def is_closed(self) -> bool:
        """Whether no connection is open and none is accepted any more."""
        return not (self._accepts or self._channels() or self._state.lingering)

    @property
    def connection_count(self) -> int:
        """The number of open connections of callers."""
        return len(self._server.active_channels)

    @property
    def departure_count(self) -> int:
        """The number of requests whose callers had left before they were read."""
        return self._state.departures.count

    def open_requests(self) -> list[OpenRequest]:
        """Return the requests that were read and aren't answered in full."""
        return [
            request
            for channel in self._channels()
            for request in channel.open_requests()
        ]

    def close_when_idle(self) -> None:
        """Accept no more connections, and close each one once it is idle.

        What callers have sent by then is still read and handled.
        """
        self._state.closes_idle = True
        # The server's thread must do it: it may be accepting a connection now.
        self.call_soon(self._stop_accepting)

    def call_soon(self, function: Callable[[], object]) -> None:
        """Call ``function`` in the server's thread."""
        self._server.trigger.pull_trigger(function)

    def refuse_waiting(self) -> None:
        """Have the requests refused at once that wait for a thread or for their rest.

        For an application that from now on refuses each request without blocking.
        """
        if not self._state.refuses:
            self._state.refuses = True
            threads = self._server.adj.threads + REFUSING_THREADS
            self._server.task_dispatcher.raise_limit(threads)
            self._server.pull_trigger()

    def _channels(self) -> set[Channel]:
        """Return the open channels and those whose caller left during its request."""
        connected = list(self._server.active_channels.values())
        return {*connected, *tuple(self._state.running.values())}

    def _stop_accepting(self) -> None:
        if not self._accepts:
            return
        for _ in range(MAX_LAST_ACCEPTS):
            connections = len(self._server.active_channels)
            self._server.handle_accept()
            if len(self._server.active_channels) == connections:
                break
        wasyncore.dispatcher.close(self._server)
        self._accepts = False


@contextmanager
def serve_http(
    app: Callable, address: str, *, threads: int,
    should_close: Callable[[], bool] = never,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    idle_timeout_seconds: int = DEFAULT_IDLE_TIMEOUT_SECONDS,
    request_id_header: str = "",
    may_overlap: OverlapRule = overlaps_none,
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
    drops_departed: bool = False,
    body_memory: SharedMemory | None = None,
) -> Iterator[HttpServer]:  # fmt: skip
    """Serve a WSGI application in a background thread and yield the server.

    Up to ``threads`` requests are handled at once, in threads started when needed.
    ``max_body_bytes`` limits the body of a request, ``idle_timeout_seconds`` how long a
    connection may stay idle. While ``should_close()`` is true, connections are closed
    after their next response. ``request_id_header`` names requests in logs. Requests
    of one connection for which ``may_overlap`` is true are handled side by side. With
    more than ``max_connections``, the longest idle ones are closed. With
    ``drops_departed``, requests whose callers left before they were read aren't
    handled: for callers that have no use for one without its response. With
    ``body_memory``, a request whose body has no room there is handled without it (see
    ``BODY_REFUSED``).
    """
    memory = body_memory or SharedMemory()
    host, _, port = address.rpartition(":")
    request_threads = RequestThreads(limit=threads, clock=BootClock())
    try:
        server = create_server(
            app,
            _dispatcher=request_threads,
            host=host,
            port=int(port),
            threads=threads,
            ident=None,
            clear_untrusted_proxy_headers=True,
            connection_limit=int(HARD_LIMIT_FACTOR * max_connections),
            channel_timeout=idle_timeout_seconds,
            # Reading past a request detects that its caller has disconnected.
            channel_request_lookahead=MAX_PIPELINED_REQUESTS,
            asyncore_use_poll=True,
            asyncore_loop_timeout=POLL_TIMEOUT_SECONDS,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=max_body_bytes,
            log_socket_errors=False,
        )
    except OSError as error:
        request_threads.shutdown()
        raise AddressInUse(
            f"can't listen on {address}: {error.strerror}; stop the other process or "
            "change the address in the settings"
        ) from error
    server.application = with_early_responses(server.application)
    server.channel_class = Channel
    state = ServerState(
        should_close=should_close,
        room=ConnectionRoom(limit=max_connections, clock=BootClock()),
        request_id_header=request_id_header.upper().replace("-", "_"),
        may_overlap=may_overlap,
        drops_departed=drops_departed,
        body_memory=memory,
    )
    server.state = state
    server.adj.socket_options = _CALLER_SOCKET_OPTIONS
    server.readable = partial(_make_room_and_accept, server, server.readable)
    closing = threading.Event()
    server.pull_trigger = partial(_pull_trigger, server.pull_trigger, closing)
    create_critical_thread(lambda: _run_server(server, closing), name="http").start()
    try:
        yield HttpServer(server=server, state=state)
    finally:
        closing.set()
        server.close()


def _make_room_and_accept(server: BaseWSGIServer, accepts: Callable[[], bool]) -> bool:
    """Close idle connections if there are too many; return whether to accept one.

    The server's thread calls this before each poll, and it also reads requests, so
    none is read from a connection that is then closed.
    """
    for channel in server.state.room.surplus(server.active_channels.values()):
        channel.will_close = True
    return accepts()


def _pull_trigger(pull: Callable[[], None], closing: threading.Event) -> None:
    """Wake the server's thread, unless it has ended: a request may outlast the server.

    Raises ``OSError`` if that fails before ``closing``.
    """
    try:
        pull()
    except OSError as error:
        if not closing.is_set():
            raise
        logger.debug("http: a request ended after the server: {!r}", error)


def _run_server(server: BaseWSGIServer, closing: threading.Event) -> None:
    """Serve until ``server`` is closed; raise if that fails before ``closing``."""
    try:
        server.run()
    except Exception as error:
        if not closing.is_set():
            raise
        # Another thread closes the sockets that this one polls.
        logger.debug("http: the server stopped with an error: {!r}", error)
