"""Ends the exchange with a target when the caller has left."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager


class Cancellation:
    """Set once, from any thread; closes the connection that is in use then."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._is_set = False

    @property
    def is_set(self) -> bool:
        return self._is_set

    def set(self) -> None:
        """End the exchange, now and in the future."""
        with self._lock:
            self._is_set = True
            if self._socket is not None:
                _shut_down(self._socket)

    @contextmanager
    def closing(self, connection: socket.socket | None) -> Iterator[None]:
        """Shut ``connection`` down as soon as this is set, until the block ends."""
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
        # The other end was faster; the exchange fails in the same way.
        return


NEVER_CANCELLED = Cancellation()
