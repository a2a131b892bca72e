"""Cancels the exchange with a target when the caller has disconnected."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager


class Cancellation:
    """A flag that any thread may set once; it shuts down the connection in use."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_set = False

    @property
    def is_set(self) -> bool:
        return self._is_set

    def set(self) -> None:
        """Cancel the current exchange, if any, and every later one."""
        with self._lock:
            self._is_set = True
            if self._socket is not None:
                _shut_down(self._socket)

    @contextmanager
    def closing(self, connection: socket.socket | None) -> Iterator[None]:
        """Within the block, shut ``connection`` down as soon as the flag is set."""
        with self._lock:
            self._socket = connection
            if self._is_set and connection is not None:
                _shut_down(connection)
        try:
            yield
        finally:
            with self._lock:
                self._socket = None


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is closed already; the exchange fails all the same.
        return


NEVER_CANCELLED = Cancellation()
