"""Buffers of request bodies, with the interface of waitress's buffers."""

from __future__ import annotations

import io
import mmap
import weakref
from collections.abc import Callable

GROWTH_BYTES = 1_048_576
PRIVATE = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS  # a shared one can't grow


class MappedBuffer:
    """A body in a mapping of its own, which returns its memory as soon as it is unused.

    A long body on the heap would leave memory behind that the process keeps.
    ``on_free`` is called once the memory is returned.
    """

    def __init__(self, size: int, *, on_free: Callable[[], None]) -> None:
        self._map: mmap.mmap | None = mmap.mmap(-1, size, flags=PRIVATE)
        weakref.finalize(self._map, on_free).atexit = False
        self._length = 0

    def append(self, data: bytes) -> None:
        end = self._length + len(data)
        if end > len(self._map):
            self._map.resize(end + GROWTH_BYTES)
        self._map[self._length : end] = data
        self._length = end

    def __len__(self) -> int:
        return self._length

    def getfile(self) -> MappedBuffer:
        return self

    def read(self) -> bytes:
        """Return a copy of the body."""
        return self._map[: self._length]

    def view(self) -> memoryview:
        """Return the body without a copy. Nothing may be appended any more."""
        return memoryview(self._map)[: self._length].toreadonly()

    def close(self) -> None:
        """Free the memory once no view is used any more."""
        self._map = None


class DroppingBuffer:
    """The buffer of a body that nobody reads."""

    def append(self, data: bytes) -> None:
        """Drop ``data``."""

    def __len__(self) -> int:
        return 0

    def getfile(self) -> io.BytesIO:
        return io.BytesIO()

    def close(self) -> None:
        """Do nothing: nothing is held."""
