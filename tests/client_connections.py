"""Clients' connections, on which a test sees whether a host read a request."""

from __future__ import annotations

import http.client
import io
import select
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from urllib3.util import wait_for_read

ANSWER_TIMEOUT_SECONDS = 8.0
# A request sent later than this before its connection ends may not have been read.
UNREAD_SECONDS = 0.2
MILLISECONDS_PER_SECOND = 1000
RECEIVE_BUFFER_BYTES = 65_536


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A request as a client sends it."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def head(self) -> bytes:
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: shop.example"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode()

    def __str__(self) -> str:
        return f"{self.method} {self.path}"


@attrs.frozen(kw_only=True)
class Answer:
    """A complete response; ``closes`` says that it is the connection's last one."""

    status: int
    body: bytes
    closes: bool
    headers: http.client.HTTPMessage = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class NoAnswer:
    """The connection ended ``seconds`` after the request was sent in full.

    ``was_read`` says whether the host had read the request.
    """

    seconds: float
    was_read: bool
    reason: str

    @property
    def is_loss(self) -> bool:
        return self.was_read or self.seconds > UNREAD_SECONDS

    def __str__(self) -> str:
        read = "read" if self.was_read else "not read"
        return (
            f"no answer, {read}, closed {self.seconds:.3f} s after sending: "
            f"{self.reason}"
        )


class _UnclosedReader:
    """A reader that stays open when a response has been read from it."""

    def __init__(self, file: io.BufferedReader) -> None:
        self._file = file

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def close(self) -> None:
        pass


class Connection:
    """A client's connection, on which requests are sent and answers are read in order.

    What arrives with an answer, and belongs to the next one, is kept for that.
    """

    def __init__(
        self, *, address: tuple[str, int], receive_buffer_bytes: int = 0
    ) -> None:
        self._socket = socket.socket()
        if receive_buffer_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._socket.settimeout(ANSWER_TIMEOUT_SECONDS)
        self._socket.connect(address)
        self._reader = _UnclosedReader(self._socket.makefile("rb"))
        self._sent_at = 0.0

    def makefile(self, mode: str) -> _UnclosedReader:
        """Return the reader of the answers, as ``http.client`` asks a socket for it."""
        return self._reader

    def close(self) -> None:
        self._reader._file.close()
        self._socket.close()

    def send(self, data: bytes) -> None:
        try:
            self._socket.sendall(data)
        finally:
            self._sent_at = time.monotonic()

    def try_to_send(self, data: bytes) -> bool:
        """Return whether the connection is still open for sending."""
        try:
            self.send(data)
        except OSError:
            return False
        return True

    def wait_for_continue(self) -> None:
        """Wait for the interim response which shows that the head was read."""
        received = b""
        while not received.endswith(b"\r\n\r\n"):
            data = self._socket.recv(1)
            assert data, "the connection was closed before 100 Continue"
            received += data
        assert received.startswith(b"HTTP/1.1 100 "), received

    def wait_for_response(self) -> None:
        """Wait until the first byte of the response has arrived."""
        assert self._socket.recv(1, socket.MSG_PEEK), "closed without a response"

    def has_data(self) -> bool:
        return wait_for_read(self._socket, timeout=0)

    def read_answer(self, method: str = "GET") -> Answer | NoAnswer:
        response = http.client.HTTPResponse(self, method=method)
        try:
            response.begin()
            body = response.read()
        except (http.client.HTTPException, OSError) as error:
            seconds = time.monotonic() - self._sent_at
            return NoAnswer(
                seconds=seconds, was_read=self._was_read(error), reason=repr(error)
            )
        return Answer(
            status=response.status,
            body=body,
            closes=response.will_close,
            headers=response.headers,
        )

    def exchange(self, request: HttpRequest) -> Answer | NoAnswer:
        """Send a request and read its answer."""
        self.try_to_send(request.head + request.body)
        return self.read_answer(request.method)

    def _was_read(self, error: Exception) -> bool:
        """Return whether the peer read all that was sent before it closed.

        The kernel resets a connection that is closed with data unread, and one on which
        data arrive after it was closed.
        """
        if isinstance(error, ConnectionError) and not isinstance(
            error, http.client.RemoteDisconnected
        ):
            return False
        poller = select.poll()
        poller.register(self._socket, 0)  # errors are reported without a mask
        return not poller.poll(UNREAD_SECONDS * MILLISECONDS_PER_SECOND)


@contextmanager
def connected(
    address: tuple[str, int], *, receive_buffer_bytes: int = 0
) -> Iterator[Connection]:
    connection = Connection(address=address, receive_buffer_bytes=receive_buffer_bytes)
    try:
        yield connection
    finally:
        connection.close()


def finish(connection: Connection, request: HttpRequest) -> Answer | NoAnswer:
    """Send the last byte of a request and read the answer."""
    connection.try_to_send(request.body[-1:])
    return connection.read_answer(request.method)
