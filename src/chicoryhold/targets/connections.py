"""Pool of connections to targets; idle ones are reused while likely to be alive."""

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
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
    InvalidResponse,
)
from chicoryhold.targets.cancellation import NEVER_CANCELLED, Cancellation
from chicoryhold.targets.dialect import OWN_DIALECT, TargetDialect
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse
from chicoryhold.targets.link_failures import LinkFailure, connect_failure

DEFAULT_IDLE_LIMIT_SECONDS = 5.0  # for targets without a Keep-Alive timeout
MAX_IDLE_LIMIT_SECONDS = 60.0  # upper bound for a target's Keep-Alive timeout
# Reserve before the target's own timeout: it may close the connection while a request
# is on its way.
IDLE_MARGIN_SECONDS = 1.0
# Shorter for requests that must not run twice: if the target closes the connection at
# the same time, they can't be retried.
AT_MOST_ONCE_IDLE_LIMIT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS_PER_TARGET = 64
PRECONNECT_THREADS = 2
STALE_AFTER_SECONDS = 0.1  # idle time after which a connection may have been lost
USER_TIMEOUT_MS = 1_000
READ_CHUNK_BYTES = 65_536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


# The kernel closes a connection whose data or keep-alive probes are not acknowledged.
# This distinguishes a lost connection from a slow target.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
)


class _CheckedResponse(http.client.HTTPResponse):
    """Detects bytes that follow the end of the response.

    The standard class discards its read buffer at the end of the body, so trailing
    bytes in the buffer would be lost and never be seen on the socket.
    """

    def __init__(self, sock, *args, **kwargs) -> None:
        super().__init__(sock, *args, **kwargs)
        self._socket = sock
        self.has_trailing_bytes = False

    def _close_conn(self) -> None:
        self._socket.settimeout(0)
        try:
            self.has_trailing_bytes = bool(self.fp.peek(1))
        except OSError:
            self.has_trailing_bytes = False
        super()._close_conn()


class _CheckedConnection(HTTPConnection):
    response_class = _CheckedResponse


@attrs.frozen(kw_only=True)
class _IdleConnection:
    """An unused connection, which may be reused for ``idle_limit`` seconds."""

    connection: _CheckedConnection
    idle_since: float
    idle_limit: float


class TargetConnections:
    """Sends requests to targets over pooled connections.

    Each response is checked to be complete and to belong to its request.
    ``record_connect_time`` is called with the address and the seconds that opening
    each new connection took, ``record_link_failure`` with the address and the kind of
    each failure to open one or to get a response over one.
    """

    def __init__(
        self, *, clock: Clock, dialect: TargetDialect = OWN_DIALECT,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        record_connect_time: Callable[[str, float], None] = (
            lambda address, seconds: None
        ),
        record_link_failure: Callable[[str, LinkFailure], None] = (
            lambda address, failure: None
        ),
    ) -> None:  # fmt: skip
        self._record_connect_time = record_connect_time
        self._record_link_failure = record_link_failure
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._dialect = dialect
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._connecting: set[str] = set()
        self._preconnect_pool = ThreadPoolExecutor(
            PRECONNECT_THREADS, thread_name_prefix="spare"
        )
        self._lock = threading.Lock()

    def exchange(
        self, address: str, request: OutgoingRequest, *, deadline: float,
        stale_connection_deadline: float, cancellation: Cancellation = NEVER_CANCELLED,
    ) -> TargetResponse:  # fmt: skip
        """Return the response of the target at ``address``, by ``deadline``.

        If the connection was idle for longer than ``STALE_AFTER_SECONDS``, the earlier
        ``stale_connection_deadline`` applies: the connection may have been lost, and
        time must remain for an attempt on another one. A more recently used
        connection is known to work, so a late response there means that the target is
        slow, and another attempt would only add load.

        Raises ``ConnectFailed`` if no byte was sent, and ``ExchangeFailed`` if the
        target may or may not have run the request. Its subclass ``ExchangeTimeout`` is
        raised if time ran out, ``ExchangeCancelled`` if ``cancellation`` ended the
        exchange.
        """
        idle = self._take_idle(
            address, require_fresh=request.at_most_once and not request.cross_region
        )
        if request.cross_region:
            self.preconnect(address)
        if idle is None:
            connection = self._connect(address, deadline)
        else:
            connection = idle.connection
            if self._clock.now() - idle.idle_since > STALE_AFTER_SECONDS:
                deadline = stale_connection_deadline
        try:
            with cancellation.closing(connection.sock):
                response = self._send(connection, request, deadline)
        except InvalidResponse:
            connection.close()
            raise
        except (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException) as e:
            connection.close()
            if cancellation.is_set:
                raise ExchangeCancelled("the caller left: nobody waits for this") from e
            # The other connections to this address may have been lost as well.
            self.close_idle(address)
            failure = self._exchange_error(address, deadline, e)
            if not isinstance(failure, ExchangeTimeout):
                self._record_link_failure(address, LinkFailure.LOST)
            raise failure from e
        self._keep_idle(
            address, connection, idle_limit_seconds(_header(response, "keep-alive"))
        )
        return response

    def _exchange_error(
        self, address: str, deadline: float, error: Exception
    ) -> ExchangeFailed:
        kind = ExchangeTimeout if self._clock.now() >= deadline else ExchangeFailed
        return kind(
            f"target {address} broke off: {error}; look at its log and at the link"
        )

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to ``address``."""
        with self._lock:
            return len(self._idle.get(address, ()))

    def stop_preconnecting(self) -> None:
        """Stop opening connections in advance; wait for those that are being opened."""
        self._preconnect_pool.shutdown()

    def preconnect(self, address: str) -> None:
        """Open a connection in the background, unless there is an idle one.

        Opening a connection to another region takes as long as a request there.
        """
        with self._lock:
            if self._idle.get(address) or address in self._connecting:
                return
            self._connecting.add(address)
        self._preconnect_pool.submit(self._preconnect, address)

    def _preconnect(self, address: str) -> None:
        try:
            connection = self._connect(
                address, self._clock.now() + CONNECT_TIMEOUT_SECONDS
            )
        except ConnectFailed as error:
            logger.bind(address=address, reason=str(error)).info(
                "connections: opening a connection in advance failed."
            )
        else:
            self._keep_idle(address, connection, DEFAULT_IDLE_LIMIT_SECONDS)
        finally:
            with self._lock:
                self._connecting.discard(address)

    def close_idle(self, address: str) -> None:
        """Close every idle connection to ``address``."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        with self._lock:
            addresses = tuple(self._idle)
        for address in addresses:
            self.close_idle(address)

    def _take_idle(
        self, address: str, *, require_fresh: bool
    ) -> _IdleConnection | None:
        now = self._clock.now()
        while True:
            with self._lock:
                idle = self._idle.get(address)
                entry = idle.pop() if idle else None
            if entry is None:
                return None
            limit = (
                AT_MOST_ONCE_IDLE_LIMIT_SECONDS if require_fresh else entry.idle_limit
            )
            if now - entry.idle_since <= limit and _is_reusable(entry.connection):
                return entry
            entry.connection.close()

    def _keep_idle(
        self, address: str, connection: _CheckedConnection, idle_limit: float
    ) -> None:
        if connection.sock is None:
            return
        entry = _IdleConnection(
            connection=connection, idle_since=self._clock.now(), idle_limit=idle_limit
        )
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_TARGET:
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
            self.close_idle(address)
            self._record_link_failure(address, connect_failure(error))
            raise ConnectFailed(
                f"target {address} can't be reached: {error}; check its process"
            ) from error
        self._record_connect_time(address, self._clock.now() - started)
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
        self._validate(connection, request, response)
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
        chunks = []
        size = 0
        while True:
            self._set_timeout(connection, deadline)
            chunk = response.read(READ_CHUNK_BYTES, decode_content=False)
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise InvalidResponse(
                    f"the answer is longer than {MAX_RESPONSE_BYTES} bytes: send less"
                )

    def _set_timeout(self, connection: _CheckedConnection, deadline: float) -> None:
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        # urllib3 sets connection.timeout on the socket again before each operation.
        connection.timeout = remaining
        if connection.sock is not None:
            connection.sock.settimeout(remaining)

    def _validate(
        self,
        connection: _CheckedConnection,
        request: OutgoingRequest,
        response: urllib3.HTTPResponse,
    ) -> None:
        raw_response = response._original_response
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        has_no_body = response.status in (204, 304) or request.method == "HEAD"
        has_framing = chunked or has_no_body or "Content-Length" in response.headers
        if not (has_framing or self._dialect.lenient_framing):
            raise InvalidResponse(
                "the answer has no length, so it can't be known to be whole: make the "
                "target send Content-Length or chunks"
            )
        header = self._dialect.request_id_header
        echoed_id = response.headers.get(header)
        if raw_response.has_trailing_bytes and self._dialect.lenient_framing:
            # The response itself is complete; the trailing bytes belong to no request.
            connection.close()
        elif raw_response.has_trailing_bytes:
            raise InvalidResponse(
                "the answer goes on after its end: fix its Content-Length"
            )
        if echoed_id != request.request_id:
            raise InvalidResponse(
                f"the answer is for request {echoed_id!r}, not {request.request_id!r}: "
                f"make the target return {header}"
            )


def idle_limit_seconds(keep_alive: str) -> float:
    """Return how long a connection may be idle, given a Keep-Alive header value."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            advertised = min(float(value), MAX_IDLE_LIMIT_SECONDS)
            return max(0.0, advertised - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_LIMIT_SECONDS


def _header(response: TargetResponse, name: str) -> str:
    return next((v for k, v in response.headers if k.lower() == name), "")


def _is_reusable(connection: _CheckedConnection) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    sock = connection.sock
    return sock is not None and not wait_for_read(sock, timeout=0)
