"""Client connections that tell apart how a request ended."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterable

import attrs

from bench.stops.records import Ending, SentRequest

CONNECT_TIMEOUT_SECONDS = 1.0
GIVE_UP_SECONDS = 1.0  # after the deadline, the client closes its connection
SEND_BUFFER_BYTES = 65_536  # small, so that what was sent has hardly to wait there
READ_BYTES = 262_144
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
SEAL_HEADER = "server-seal"
LEAVING_HEADER = "server-leaving"


@attrs.frozen(kw_only=True)
class Pace:
    """How fast a client sends and reads; a pause of 0 means without pauses.

    If ``chunked`` is set, each piece of the body is sent as a chunk.
    """

    piece_bytes: int = READ_BYTES
    chunked: bool = False
    send_pause_seconds: float = 0.0
    read_pause_seconds: float = 0.0


class ClientConnection:
    """One connection to an entry host, used for one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._socket = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    @property
    def has_ended(self) -> bool:
        """Whether the host has closed the connection."""
        self._socket.setblocking(False)
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def limit_receive_buffer(self, size: int) -> None:
        """Let the host wait for a slow reader."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def close(self) -> None:
        self._socket.close()

    def exchange(
        self, request: SentRequest, head: bytes, body: bytes, *, pace: Pace
    ) -> None:
        """Send a request, read its answer, and note in ``request`` how it ended."""
        give_up_at = time.monotonic() + request.deadline_seconds + GIVE_UP_SECONDS
        try:
            give_up_at += self._send(request, head, body, pace)
        except TimeoutError:
            self._end(request, Ending.ABANDONED)
            return
        except OSError:
            pass  # an answer that was given before may still be read
        try:
            request.ending = self._read_answer(request, pace, give_up_at)
        except TimeoutError:
            request.ending = Ending.ABANDONED
        except OSError:
            request.ending = Ending.RESET
        except (ValueError, IndexError):
            request.ending = Ending.GARBLED
        self._end(request, request.ending)

    def _end(self, request: SentRequest, ending: Ending) -> None:
        request.ended_at = time.monotonic()
        request.ending = ending
        if ending is not Ending.ANSWERED:
            self.close()

    def _send(
        self, request: SentRequest, head: bytes, body: bytes, pace: Pace
    ) -> float:
        """Send all of the request and return how many seconds that took."""
        started_at = request.began_at = time.monotonic()
        self._socket.settimeout(request.deadline_seconds + GIVE_UP_SECONDS)
        if pace.send_pause_seconds:
            self._socket.sendall(head)
            for piece in _pieces(body, pace):
                time.sleep(pace.send_pause_seconds)
                self._socket.sendall(piece)
        else:
            self._socket.sendall(b"".join((head, *_pieces(body, pace))))
        request.sent_at = time.monotonic()
        return request.sent_at - started_at

    def _read_answer(
        self, request: SentRequest, pace: Pace, give_up_at: float
    ) -> Ending:
        data = b""
        while HEAD_END not in data:
            piece = self._receive(request, READ_BYTES, give_up_at)
            if not piece:
                request.partial_head = data
                return Ending.CLOSED
            data += piece
        head, _, body = data.partition(HEAD_END)
        length = _read_head(request, head)
        request.received_body_bytes = len(body)
        while request.received_body_bytes < length:
            if pace.read_pause_seconds:
                time.sleep(pace.read_pause_seconds)
            piece = self._receive(request, pace.piece_bytes, give_up_at)
            if not piece:
                return Ending.CLOSED
            request.received_body_bytes += len(piece)
        return Ending.ANSWERED

    def _receive(self, request: SentRequest, size: int, give_up_at: float) -> bytes:
        remaining = give_up_at - time.monotonic()
        if remaining <= 0:
            raise TimeoutError
        self._socket.settimeout(remaining)
        piece = self._socket.recv(size)
        request.received_bytes += len(piece)
        return piece


def _pieces(body: bytes, pace: Pace) -> Iterable[bytes]:
    for start in range(0, len(body), pace.piece_bytes):
        piece = body[start : start + pace.piece_bytes]
        yield b"%x\r\n%b\r\n" % (len(piece), piece) if pace.chunked else piece
    if pace.chunked:
        yield LAST_CHUNK


def _read_head(request: SentRequest, head: bytes) -> int:
    """Note the status in ``request`` and return the length of the body."""
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    request.status = int(status_line.split()[1])
    request.sealed = SEAL_HEADER in headers
    request.answered_by = headers.get(SEAL_HEADER, "")
    request.says_leaving = LEAVING_HEADER in headers
    return int(headers.get("content-length", 0))
