"""Connections to targets, kept for reuse only while they can be trusted."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3
from loguru import logger
from urllib3.connection import HTTPConnection
from urllib3.util import wait_for_read

from chicoryhold.clock import Clock
from chicoryhold.errors import (
    AnswerMismatch,
    CallerLeft,
    ConnectFailed,
    ExchangeFailed,
    ExchangeTimeout,
)
from chicoryhold.targets.cancellation import NEVER_CANCELLED, Cancellation
from chicoryhold.targets.dialect import OWN_DIALECT, TargetDialect
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

IDLE_SECONDS = 5.0  # for targets that don't say how long they wait
LONGEST_IDLE_SECONDS = 60.0
IDLE_MARGIN_SECONDS = 1.0  # the target may close while a request is on its way
IDLE_SECONDS_ONCE = 0.5
CONNECT_TIMEOUT = 1.0
IDLE_PER_TARGET = 64
SPARE_THREADS = 2
DOUBTED_AFTER_SECONDS = 0.1
UNACKNOWLEDGED_MS = 1_000
READ_BYTES = 65_536
LARGEST_ANSWER = 16 * 1024 * 1024


# The kernel ends a connection whose data or probes are no longer acknowledged, so a
# path that was lost is told from a target that is slow.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
)


class _CheckedResponse(http.client.HTTPResponse):
    """Notices bytes that follow the end of the answer.

    The standard class reads through a buffer that it drops at the end of the body,
    so surplus bytes would be lost there and never seen on the socket.
    """

    def __init__(self, sock, *args, **kwargs) -> None:
        super().__init__(sock, *args, **kwargs)
        self._socket = sock
        self.surplus = False

    def _close_conn(self) -> None:
        self._socket.settimeout(0)
        try:
            self.surplus = bool(self.fp.peek(1))
        except OSError:
            self.surplus = False
        super()._close_conn()


class _CheckedConnection(HTTPConnection):
    response_class = _CheckedResponse


@attrs.frozen(kw_only=True)
class _Idle:
    """A connection that waits for a request; ``longest`` says for how many seconds."""

    connection: _CheckedConnection
    since: float
    longest: float


class TargetConnections:
    """Sends requests to targets, each answer checked to be whole and its own.

    ``opened`` is told how many seconds each new connection to an address took.
    """

    def __init__(
        self, *, clock: Clock, dialect: TargetDialect = OWN_DIALECT,
        connect_timeout: float = CONNECT_TIMEOUT,
        record_connect_time: Callable[[str, float], None] = (
            lambda address, seconds: None
        ),
    ) -> None:  # fmt: skip
        self._opened = record_connect_time
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._dialect = dialect
        self._idle: dict[str, list[_Idle]] = {}
        self._opening: set[str] = set()
        self._spares = ThreadPoolExecutor(SPARE_THREADS, thread_name_prefix="spare")
        self._lock = threading.Lock()

    def exchange(
        self, address: str, request: OutgoingRequest, *, deadline: float,
        stale_connection_deadline: float, cancellation: Cancellation = NEVER_CANCELLED,
    ) -> TargetResponse:  # fmt: skip
        """Return the answer of the target at ``address``, by ``deadline``.

        On a connection that was idle for a while ``doubted_deadline`` counts: it may
        have gone silent, and the caller then has time left for another one. A fresh
        connection has shown life, so a late answer there means a slow target, which
        another try would only load more.

        Raises ``ConnectFailed`` if no byte was sent, and ``ExchangeFailed`` if the
        target may or may not have run the request: ``ExchangeTimeout`` if time ran
        out, ``CallerLeft`` if ``cancellation`` ended the exchange.
        """
        idle = self._take(address, fresh=request.at_most_once and not request.far)
        if request.far:
            self.preconnect(address)
        if idle is None:
            connection = self._connect(address, deadline)
        else:
            connection = idle.connection
            if self._clock.now() - idle.since > DOUBTED_AFTER_SECONDS:
                deadline = stale_connection_deadline
        try:
            with cancellation.closing(connection.sock):
                answer = self._send(connection, request, deadline)
        except AnswerMismatch:
            connection.close()
            raise
        except (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException) as e:
            connection.close()
            if cancellation.is_set:
                raise CallerLeft("the caller left: nobody waits for this") from e
            # One silent connection means that the path may have dropped them all.
            self.retire(address)
            raise self._failure(address, deadline, e) from e
        self._keep(
            address, connection, idle_limit_seconds(_header(answer, "keep-alive"))
        )
        return answer

    def _failure(
        self, address: str, deadline: float, error: Exception
    ) -> ExchangeFailed:
        kind = ExchangeTimeout if self._clock.now() >= deadline else ExchangeFailed
        return kind(
            f"target {address} broke off: {error}; look at its log and at the link"
        )

    def idle_to(self, address: str) -> int:
        """Return how many connections wait for a request to ``address``."""
        with self._lock:
            return len(self._idle.get(address, ()))

    def finish_opening(self) -> None:
        """Return once no connection is being opened ahead; none will be after that."""
        self._spares.shutdown()

    def preconnect(self, address: str) -> None:
        """Open a connection in the background, unless an idle one is there.

        Opening one to another region takes as long as a request there.
        """
        with self._lock:
            if self._idle.get(address) or address in self._opening:
                return
            self._opening.add(address)
        self._spares.submit(self._open_spare, address)

    def _open_spare(self, address: str) -> None:
        try:
            connection = self._connect(address, self._clock.now() + CONNECT_TIMEOUT)
        except ConnectFailed as error:
            logger.bind(address=address, reason=str(error)).info(
                "connections: no spare one could be opened."
            )
        else:
            self._keep(address, connection, IDLE_SECONDS)
        finally:
            with self._lock:
                self._opening.discard(address)

    def retire(self, address: str) -> None:
        """Close every idle connection to ``address``."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def _take(self, address: str, *, fresh: bool) -> _Idle | None:
        now = self._clock.now()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                entry = idle.pop() if idle else None
            if entry is None:
                return None
            limit = IDLE_SECONDS_ONCE if fresh else entry.longest
            if now - entry.since <= limit and _is_quiet(entry.connection):
                return entry
            entry.connection.close()

    def _keep(
        self, address: str, connection: _CheckedConnection, longest: float
    ) -> None:
        if connection.sock is None:
            return
        entry = _Idle(connection=connection, since=self._clock.now(), longest=longest)
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < IDLE_PER_TARGET:
                idle.append(entry)
                return
        connection.close()

    def _connect(self, address: str, deadline: float) -> _CheckedConnection:
        host, _, port = address.rpartition(":")
        remaining = max(0.001, deadline - self._clock.now())
        timeout = min(self._connect_timeout, remaining)
        connection = _CheckedConnection(
            host, int(port), timeout=timeout, socket_options=_SOCKET_OPTIONS
        )
        started = self._clock.now()
        try:
            connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            self.retire(address)
            raise ConnectFailed(
                f"target {address} can't be reached: {error}; check its process"
            ) from error
        self._opened(address, self._clock.now() - started)
        return connection

    def _send(
        self, connection: _CheckedConnection, request: OutgoingRequest, deadline: float
    ) -> TargetResponse:
        self._set_timeout(connection, deadline)
        connection.request(
            request.method,
            request.path,
            body=request.body or None,
            headers={
                **request.headers,
                self._dialect.request_id_header: request.request_id,
            },
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        body = self._read_body(connection, response, deadline)
        self._check(connection, request, response)
        return TargetResponse(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=body,
        )

    def _read_body(
        self,
        connection: _CheckedConnection,
        response: urllib3.HTTPResponse,
        deadline: float,
    ) -> bytes:
        pieces = []
        size = 0
        while True:
            self._set_timeout(connection, deadline)
            piece = response.read(READ_BYTES, decode_content=False)
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)
            size += len(piece)
            if size > LARGEST_ANSWER:
                raise AnswerMismatch(
                    f"the answer is longer than {LARGEST_ANSWER} bytes: send less"
                )

    def _set_timeout(self, connection: _CheckedConnection, deadline: float) -> None:
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        # The library sets its own timeout on the socket again before each step.
        connection.timeout = remaining
        if connection.sock is not None:
            connection.sock.settimeout(remaining)

    def _check(
        self,
        connection: _CheckedConnection,
        request: OutgoingRequest,
        response: urllib3.HTTPResponse,
    ) -> None:
        raw = response._original_response
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        empty = response.status in (204, 304) or request.method == "HEAD"
        framed = chunked or empty or "Content-Length" in response.headers
        if not (framed or self._dialect.lenient_framing):
            raise AnswerMismatch(
                "the answer has no length, so it can't be known to be whole: make the "
                "target send Content-Length or chunks"
            )
        header = self._dialect.request_id_header
        echoed = response.headers.get(header)
        if raw.surplus and self._dialect.lenient_framing:
            # What follows belongs to no request; the answer itself is whole.
            connection.close()
        elif raw.surplus:
            raise AnswerMismatch(
                "the answer goes on after its end: fix its Content-Length"
            )
        if echoed != request.request_id:
            raise AnswerMismatch(
                f"the answer is for request {echoed!r}, not {request.request_id!r}: "
                f"make the target return {header}"
            )


def idle_limit_seconds(keep_alive: str) -> float:
    """Return how long a connection may be idle, by its target's Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            stated = min(float(value), LONGEST_IDLE_SECONDS)
            return max(0.0, stated - IDLE_MARGIN_SECONDS)
    return IDLE_SECONDS


def _header(answer: TargetResponse, name: str) -> str:
    return next((v for k, v in answer.headers if k.lower() == name), "")


def _is_quiet(connection: _CheckedConnection) -> bool:
    """Whether an idle connection is open and has nothing to read."""
    sock = connection.sock
    return sock is not None and not wait_for_read(sock, timeout=0)
