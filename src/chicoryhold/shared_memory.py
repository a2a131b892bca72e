"""Bounds the memory that all bodies of one kind hold in one process."""

from __future__ import annotations

import sys
import threading

GUARANTEED_BYTES = 64 * 1024  # for each body, whatever the others hold


class SharedMemory:
    """Memory shared by bodies that are being received. Thread-safe.

    A body may grow to ``guaranteed_bytes`` in any case, and beyond that as long as it
    is no larger than the part of ``total_bytes`` that is free. The longest bodies
    therefore reach their limit first, and there is always room left for short ones.
    """

    def __init__(
        self, *, total_bytes: int = sys.maxsize,
        guaranteed_bytes: int = GUARANTEED_BYTES,
    ) -> None:  # fmt: skip
        self._total_bytes = total_bytes
        self._guaranteed_bytes = guaranteed_bytes
        self._used_bytes = 0
        self._refusal_count = 0
        # Reentrant: the end of a body that is no longer used may interrupt its thread.
        self._lock = threading.RLock()

    @property
    def used_bytes(self) -> int:
        return self._used_bytes

    @property
    def limit_bytes(self) -> int:
        """The size up to which a body may grow now."""
        return max(self._guaranteed_bytes, self._total_bytes - self._used_bytes)

    @property
    def refusal_count(self) -> int:
        """How often there was no room."""
        return self._refusal_count

    def try_reserve(self, count: int, *, size: int) -> bool:
        """Reserve ``count`` bytes for a body that has ``size``, if there is room."""
        with self._lock:
            has_room = size + count <= self.limit_bytes
            if has_room:
                self._used_bytes += count
            else:
                self._refusal_count += 1
            return has_room

    def release(self, count: int) -> None:
        with self._lock:
            self._used_bytes -= count


class Reservation:
    """What one body holds of a :class:`SharedMemory`. Thread-safe."""

    def __init__(self, memory: SharedMemory) -> None:
        self._memory = memory
        self._size = 0
        self._has_ended = False
        self._lock = threading.RLock()

    def try_grow(self, size: int) -> bool:
        """Reserve up to ``size`` bytes, if there is room and it has not ended."""
        with self._lock:
            if self._has_ended:
                return False
            if size <= self._size:
                return True
            if not self._memory.try_reserve(size - self._size, size=self._size):
                return False
            self._size = size
            return True

    def end(self) -> None:
        """Give everything back. Does nothing if that was done."""
        with self._lock:
            size, self._size = self._size, 0
            self._has_ended = True
        if size:
            self._memory.release(size)
