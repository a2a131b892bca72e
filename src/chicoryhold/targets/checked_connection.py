"""A connection to a target on which each exchange has deadlines."""

from __future__ import annotations

import math
import socket
from collections.abc import Mapping

from urllib3.util.connection import create_connection

from chicoryhold.clock import Clock
from chicoryhold.targets.exchange import ResponseHead
from chicoryhold.targets.limited_reader import ExchangeDeadlines, LimitedReader
from chicoryhold.targets.response_memory import ResponseMemory
from chicoryhold.targets.response_parser import (
    ParsedResponse,
    read_response,
    request_bytes,
)
from chicoryhold.targets.sent_ids import SentIds

MIN_LOSS_TIMEOUT_SECONDS = 1  # one probe; several retransmissions of data
MAX_LOSS_TIMEOUT_SECONDS = 10
MILLISECONDS_PER_SECOND = 1000
MAX_JOINED_BYTES = 65_536  # a longer body isn't copied to be sent with its head
METHODS_WITH_LENGTH = frozenset({"PATCH", "POST", "PUT"})  # even of an empty body

# The kernel closes a connection whose data or keep-alive probes are not acknowledged,
# which distinguishes a lost connection from a slow target. TCP_USER_TIMEOUT decides
# after which time, also for the probes, whatever their number.
_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        MIN_LOSS_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND,
    ),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
]


class CheckedConnection:
    """A connection that is used for one exchange at a time.

    ``sock`` is ``None`` before :meth:`connect` and after :meth:`close`.
    """

    def __init__(self, *, host: str, port: int, timeout: float, clock: Clock) -> None:
        self.sock: socket.socket | None = None
        self._host = host
        self._port = port
        self._timeout = timeout
        self._clock = clock
        self._loss_timeout_seconds = MIN_LOSS_TIMEOUT_SECONDS
        self._deadlines = ExchangeDeadlines(final=0.0, early=0.0)
        self._may_have_sent = False
        self._reader: LimitedReader | None = None
        self._has_body = True
        self._received = b""
        self._heads: list[ResponseHead] = []
        self._sent_ids = SentIds()
        self._local_port = 0

    @property
    def sent_ids(self) -> SentIds:
        """The IDs of the requests that were sent over this connection."""
        return self._sent_ids

    @property
    def local_port(self) -> int:
        """The port of this host's end, 0 before :meth:`connect`."""
        return self._local_port

    @property
    def may_have_sent(self) -> bool:
        """Whether the kernel may have taken a byte of the current request."""
        return self._may_have_sent

    def take_heads(self) -> tuple[ResponseHead, ...]:
        """Return the heads that have arrived in this exchange, and forget them."""
        heads = tuple(self._heads)
        self._heads.clear()
        return heads

    def connect(self) -> None:
        """Open the connection. Raises ``OSError``."""
        self.sock = create_connection(
            (self._host.strip("[]"), self._port),
            self._timeout,
            socket_options=_SOCKET_OPTIONS,
        )
        self._local_port = self.sock.getsockname()[1]

    def close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.close()

    def start_exchange(self, deadlines: ExchangeDeadlines) -> None:
        """Set the deadlines of the next request and its response."""
        self._deadlines = deadlines
        self._may_have_sent = False
        self._received = b""
        self._heads.clear()
        self._reader = LimitedReader(
            sock=self.sock, clock=self._clock, deadlines=deadlines
        )
        self._set_loss_timeout(
            _loss_timeout_seconds(deadlines.early - self._clock.now())
        )

    def end_exchange(self) -> None:
        """Have the kernel notice soon if the connection is lost while it is idle."""
        if self.sock is not None:
            self._set_loss_timeout(MIN_LOSS_TIMEOUT_SECONDS)

    def send_request(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a request. Raises ``OSError``, or ``RequestNotSent`` if it can't be."""
        fields = {"Host": f"{self._host}:{self._port}", "Accept-Encoding": "identity"}
        given = {name.lower() for name in headers}
        added = [(k, v) for k, v in fields.items() if k.lower() not in given]
        if body or method in METHODS_WITH_LENGTH:
            added.append(("Content-Length", str(len(body))))
        parts = request_bytes(method, target, [*added, *headers.items()], body)
        self._has_body = method != "HEAD"
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            self._send(part)

    def read_response(self, *, memory: ResponseMemory) -> ParsedResponse:
        """Return the next response; raise ``OSError`` or ``InvalidResponse``."""
        response = read_response(
            self._reader,
            has_body=self._has_body,
            memory=memory,
            received=self._received,
            on_head=self._heads.append,
        )
        self._received = response.following
        self._reader.start_another_head()
        return response

    def has_more(self) -> bool:
        """Return whether bytes have arrived after the last response."""
        return bool(self._received) or self._reader.has_unread()

    def _send(self, data: bytes) -> None:
        unsent = memoryview(data)
        while unsent:
            remaining = self._deadlines.final - self._clock.now()
            if remaining <= 0:
                raise TimeoutError("the deadline has passed")
            self.sock.settimeout(remaining)
            try:
                count = self.sock.send(unsent)
            except ConnectionError:
                # Of a connection that the target has closed, the kernel takes nothing.
                raise
            except OSError:
                self._may_have_sent = True
                raise
            self._may_have_sent = True
            unsent = unsent[count:]

    def _set_loss_timeout(self, seconds: int) -> None:
        if seconds == self._loss_timeout_seconds:
            return
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            seconds * MILLISECONDS_PER_SECOND,
        )
        self._loss_timeout_seconds = seconds


def _loss_timeout_seconds(time_left: float) -> int:
    """Return after how long without acknowledgement a connection counts as lost.

    It is as long as an attempt that fails may last: an earlier end would gain nothing,
    and could be due to a single lost packet.
    """
    seconds = math.ceil(time_left)
    return min(max(seconds, MIN_LOSS_TIMEOUT_SECONDS), MAX_LOSS_TIMEOUT_SECONDS)
