"""Bounds the memory of all response bodies that one process is receiving."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from chicoryhold.errors import InvalidResponse
from chicoryhold.shared_memory import GUARANTEED_BYTES, SharedMemory

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A single response may take half of what is free, so twice its limit.
TOTAL_BYTES = 2 * MAX_RESPONSE_BYTES


class ResponseMemory(SharedMemory):
    """Memory shared by the response bodies that are being received."""

    def __init__(
        self, *, total_bytes: int = TOTAL_BYTES,
        guaranteed_bytes: int = GUARANTEED_BYTES,
    ) -> None:  # fmt: skip
        super().__init__(total_bytes=total_bytes, guaranteed_bytes=guaranteed_bytes)

    @contextmanager
    def buffer(self) -> Iterator[BodyBuffer]:
        """Yield the buffer of one body, which is emptied after the block."""
        buffer = BodyBuffer(self)
        try:
            yield buffer
        finally:
            size = buffer.size
            # Tracebacks may keep the buffer itself alive.
            buffer.clear()
            self.release(size)

    def reserve(self, count: int, *, size: int) -> None:
        """Reserve ``count`` bytes for a body that already has ``size``.

        Raises ``InvalidResponse`` if the body would be longer than it may be now.
        """
        if not self.try_reserve(count, size=size):
            raise InvalidResponse(
                f"the answer is longer than the {self.limit_bytes} bytes that are "
                "free: send less, or look for targets that send without end"
            )


class BodyBuffer:
    """The received part of one body, counted in a :class:`ResponseMemory`."""

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._data = bytearray()

    @property
    def size(self) -> int:
        return len(self._data)

    def append(self, chunk: bytes) -> None:
        """Append ``chunk``; raise ``InvalidResponse`` if there is no memory for it."""
        self._memory.reserve(len(chunk), size=self.size)
        self._data += chunk

    def clear(self) -> None:
        self._data.clear()

    def to_bytes(self) -> bytes:
        return bytes(self._data)
