"""Links between processes on loopback that can be made slow."""

from __future__ import annotations

import queue
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

CHUNK_BYTES = 16_384
# A link takes in no more than this before it has delivered it.
BUFFER_CHUNKS = 64
UNLIMITED_BYTES_PER_SECOND = 1e9


@attrs.frozen(kw_only=True)
class Speed:
    """``delay`` is in seconds each way; the rate is for each connection and way."""

    delay: float = 0.0
    bytes_per_second: float = UNLIMITED_BYTES_PER_SECOND


@attrs.frozen(kw_only=True)
class _Chunk:
    data: bytes
    due_at: float


class SlowLink:
    """Forwards connections to ``target``, as slowly as :attr:`speed` says."""

    def __init__(self, *, ip: str, target: tuple[str, int]) -> None:
        self._target = target
        self._speed = Speed()
        self._changed_at = 0.0
        self._listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self._listener.getsockname()[1]}"

    @property
    def speed(self) -> Speed:
        return self._speed

    @property
    def changed_at(self) -> float:
        """When the speed was last set, on the monotonic clock."""
        return self._changed_at

    def set_speed(self, speed: Speed) -> None:
        self._speed = speed
        self._changed_at = time.monotonic()

    @contextmanager
    def running(self) -> Iterator[None]:
        threading.Thread(target=self._accept, daemon=True).start()
        try:
            yield
        finally:
            self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return  # the link was closed
            try:
                far = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                chunks: queue.Queue[_Chunk] = queue.Queue(BUFFER_CHUNKS)
                for work in (self._read, self._write):
                    threading.Thread(
                        target=work, args=(source, sink, chunks), daemon=True
                    ).start()

    def _read(
        self, source: socket.socket, sink: socket.socket, chunks: queue.Queue[_Chunk]
    ) -> None:
        free_at = 0.0
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            now = time.monotonic()
            speed = self._speed
            free_at = max(now, free_at) + len(data) / speed.bytes_per_second
            chunks.put(_Chunk(data=data, due_at=free_at + speed.delay))
            if not data:
                return

    def _write(
        self, source: socket.socket, sink: socket.socket, chunks: queue.Queue[_Chunk]
    ) -> None:
        while True:
            chunk = chunks.get()
            time.sleep(max(0.0, chunk.due_at - time.monotonic()))
            try:
                if not chunk.data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(chunk.data)
            except OSError:
                source.close()
                return
