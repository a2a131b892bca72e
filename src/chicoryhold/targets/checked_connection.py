"""An HTTP connection whose responses are read within limits and checked at their end.

Chunks, lengths and headers are parsed by the standard library; it bounds neither the
duration of a response nor the number of its interim heads and trailers.
"""

from __future__ import annotations

import http.client
import math
import socket

import urllib3
from urllib3.connection import HTTPConnection

from chicoryhold.clock import Clock
from chicoryhold.errors import InvalidResponse
from chicoryhold.targets.limited_reader import ExchangeDeadlines, LimitedReader
from chicoryhold.targets.response_memory import MAX_RESPONSE_BYTES, ResponseMemory

READ_CHUNK_BYTES = 65_536
MAX_LINE_BYTES = 65_536
MIN_LOSS_TIMEOUT_SECONDS = 1  # one probe; several retransmissions of data
MAX_LOSS_TIMEOUT_SECONDS = 10
MILLISECONDS_PER_SECOND = 1000


# The kernel closes a connection whose data or keep-alive probes are not acknowledged,
# which distinguishes a lost connection from a slow target. TCP_USER_TIMEOUT decides
# after which time, also for the probes, whatever their number.
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        MIN_LOSS_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND,
    ),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
)


class CheckedResponse(http.client.HTTPResponse):
    """Reads through a ``LimitedReader`` and detects bytes after the response's end.

    The standard class discards its read buffer at the end of the body, so trailing
    bytes in the buffer would be lost and never be seen on the socket.
    """

    def __init__(self, reader: LimitedReader, **kwargs) -> None:
        super().__init__(reader, **kwargs)
        self._reader = reader
        self.has_trailing_bytes = False

    def begin(self) -> None:
        try:
            super().begin()
        except http.client.RemoteDisconnected:
            raise
        except http.client.HTTPException as error:
            raise InvalidResponse(
                f"the answer's head can't be read: {error!r}; look at the target's log"
            ) from error
        self._reader.start_body()

    def count_body(self, count: int) -> None:
        """Note that ``count`` bytes of the body were read."""
        self._reader.count_body(count)

    def _read_status(self) -> tuple[str, int, str]:
        """Return the status line of the final head, after all interim heads."""
        while True:
            version, status, reason = super()._read_status()
            if status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise InvalidResponse(
                    "the target changes to another protocol, which nobody asked for"
                )
            if not 100 <= status < 200:
                return version, status, reason
            while self.fp.readline(MAX_LINE_BYTES) not in (b"\r\n", b"\n", b""):
                pass
            self._reader.end_interim_head()

    def _close_conn(self) -> None:
        try:
            self._reader.stop_waiting()
            self.has_trailing_bytes = bool(self.fp.peek(1))
        except OSError:
            self.has_trailing_bytes = False
        super()._close_conn()


class CheckedConnection(HTTPConnection):
    """A connection on which each exchange has deadlines, sending included."""

    def __init__(self, *, host: str, port: int, timeout: float, clock: Clock) -> None:
        super().__init__(host, port, timeout=timeout, socket_options=_SOCKET_OPTIONS)
        self._clock = clock
        self._loss_timeout_seconds = MIN_LOSS_TIMEOUT_SECONDS
        self._deadlines = ExchangeDeadlines(final=0.0, early=0.0)
        self._may_have_sent = False

    @property
    def may_have_sent(self) -> bool:
        """Whether the kernel may have taken a byte of the current request."""
        return self._may_have_sent

    def start_exchange(self, deadlines: ExchangeDeadlines) -> None:
        """Set the deadlines of the next request and its response."""
        self._deadlines = deadlines
        self._may_have_sent = False
        self._set_loss_timeout(
            _loss_timeout_seconds(deadlines.early - self._clock.now())
        )

    def end_exchange(self) -> None:
        """Have the kernel notice soon if the connection is lost while it is idle."""
        if self.sock is not None:
            self._set_loss_timeout(MIN_LOSS_TIMEOUT_SECONDS)

    def send(self, data: bytes) -> None:
        remaining = self._deadlines.final - self._clock.now()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        self.sock.settimeout(remaining)
        try:
            super().send(data)
        except ConnectionError:
            # Of a connection that the target has closed, the kernel takes nothing.
            raise
        except OSError:
            self._may_have_sent = True
            raise
        self._may_have_sent = True

    def response_class(self, sock: socket.socket, **kwargs) -> CheckedResponse:
        """Return the response to read; the standard library calls this by its name."""
        reader = LimitedReader(sock=sock, clock=self._clock, deadlines=self._deadlines)
        return CheckedResponse(reader, **kwargs)

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


def read_body(response: urllib3.HTTPResponse, *, memory: ResponseMemory) -> bytes:
    """Return the whole body of ``response``, or raise ``InvalidResponse``."""
    if (response.length_remaining or 0) > MAX_RESPONSE_BYTES:
        raise _too_long()
    with memory.buffer() as body:
        while chunk := response.read1(READ_CHUNK_BYTES, decode_content=False):
            if body.size + len(chunk) > MAX_RESPONSE_BYTES:
                raise _too_long()
            body.append(chunk)
            response._original_response.count_body(len(chunk))
        return body.to_bytes()


def _too_long() -> InvalidResponse:
    return InvalidResponse(
        f"the answer is longer than {MAX_RESPONSE_BYTES} bytes: send less"
    )
