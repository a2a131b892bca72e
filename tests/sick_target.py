"""A stand-in target on loopback that sends more bytes than a response may have."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import attrs

ID_HEADER = "Chicoryhold-Request-Id"
MAX_SENT_BYTES = 64 * 1024 * 1024  # per connection
MAX_SENDING_SECONDS = 8.0
BLOCK = b"x" * 65_536
DRIBBLE_INTERVAL_SECONDS = 0.02


@attrs.frozen(kw_only=True)
class Script:
    """What the target sends after a request: ``start``, then ``repeated`` endlessly.

    ``{id}`` in ``start`` stands for the request's ID. Without ``repeated``, the
    connection then stays open. ``interval`` is the pause before each repetition.
    """

    start: str = ""
    repeated: bytes = b""
    interval: float = 0.0

    def pieces(self, request_id: str) -> Iterable[bytes]:
        repetitions = itertools.repeat(self.repeated) if self.repeated else ()
        return itertools.chain([self.start.format(id=request_id).encode()], repetitions)


def dribbled(text: str) -> Script:
    """Return a script that sends an ``x`` now and then after ``text``."""
    return Script(start=text, repeated=b"x", interval=DRIBBLE_INTERVAL_SECONDS)


def complete(body: str) -> Script:
    """Return a script that sends a complete response."""
    return Script(start=head(f"Content-Length: {len(body)}") + body)


def head(*lines: str, status: str = "200 OK") -> str:
    return "\r\n".join([f"HTTP/1.1 {status}", f"{ID_HEADER}: {{id}}", *lines, "", ""])


class SickTarget:
    """Plays ``script`` on every connection, once for each request.

    ``closed`` is released when a connection was closed by the other side, and
    ``sent_bytes`` lists how much was sent on each closed connection.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._stopped = threading.Event()
        self._connections: list[socket.socket] = []
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.requests = 0
        self.sent_bytes: list[int] = []
        self.closed = threading.Semaphore(0)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._stopped.set()
        for sock in [self._listener, *self._connections]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # it isn't connected any more
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        sent = 0
        try:
            while request := self._read_head(connection):
                self.requests += 1
                for piece in self._paced_pieces(_request_id(request)):
                    connection.sendall(piece)
                    sent += len(piece)
        except OSError:
            pass  # closed by the other side
        if not self._stopped.is_set():
            self.sent_bytes.append(sent)
            self.closed.release()

    def _read_head(self, connection: socket.socket) -> bytes:
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(65_536)
            if not data:
                return b""
            received += data
        return received

    def _paced_pieces(self, request_id: str) -> Iterator[bytes]:
        sent = 0
        ends = time.monotonic() + MAX_SENDING_SECONDS
        for piece in self._script.pieces(request_id):
            if sent > MAX_SENT_BYTES or time.monotonic() > ends:
                return
            if sent and self._script.interval:
                self._stopped.wait(self._script.interval)
            yield piece
            sent += len(piece)


def _request_id(request: bytes) -> str:
    lines = request.decode("latin-1").split("\r\n")
    prefix = f"{ID_HEADER}: "
    return next(line.removeprefix(prefix) for line in lines if line.startswith(prefix))


@contextmanager
def sick_target(script: Script) -> Iterator[SickTarget]:
    target = SickTarget(script)
    try:
        yield target
    finally:
        target.close()
