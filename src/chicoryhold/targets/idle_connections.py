"""Idle connections to targets, kept for reuse while they are likely to be alive."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs
from urllib3.util import wait_for_read

from chicoryhold.clock import Clock
from chicoryhold.targets.checked_connection import CheckedConnection

DEFAULT_IDLE_LIMIT_SECONDS = 5.0  # for targets without a Keep-Alive timeout
MAX_IDLE_LIMIT_SECONDS = 60.0  # upper bound for a target's Keep-Alive timeout
# Reserve before the target's own timeout: it may close the connection while a request
# is on its way.
IDLE_MARGIN_SECONDS = 1.0
# For requests that must not run twice, which can't be retried if their connection ends.
# The longer limit applies while idle connections are found alive.
AT_MOST_ONCE_IDLE_LIMIT_SECONDS = 4.0
AT_MOST_ONCE_DOUBTED_LIMIT_SECONDS = 0.5
DOUBT_SECONDS = 20.0  # after an idle connection was found lost
MAX_IDLE_CONNECTIONS_PER_TARGET = 64
IDLE_CHECK_INTERVAL_SECONDS = 1.0


@attrs.frozen(kw_only=True, eq=False)
class IdleConnection:
    """An unused connection, which may be reused for ``idle_limit`` seconds."""

    connection: CheckedConnection
    idle_since: float
    idle_limit: float


class IdleConnections:
    """Keeps the idle connections of each address. Thread-safe.

    While ``may_keep`` returns false, connections are closed instead.
    """

    def __init__(
        self, *, clock: Clock, may_keep: Callable[[], bool] = lambda: True
    ) -> None:
        self._clock = clock
        self._may_keep = may_keep
        self._idle: dict[str, list[IdleConnection]] = {}
        self._next_check = 0.0
        self._doubted_until = float("-inf")
        self._lock = threading.Lock()

    def count(self, address: str) -> int:
        """Return the number of idle connections to ``address``."""
        with self._lock:
            return len(self._idle.get(address, ()))

    def take(
        self, address: str, *, request_id: str, at_most_once: bool
    ) -> IdleConnection | None:
        """Return the one that was used last, if it is usable for such a request.

        None is returned over which ``request_id`` was sent before. If it was sent over
        all, the one that has been idle the longest is closed: a new one replaces it.
        """
        now = self._clock.now()
        while entry := self._pop(address, request_id):
            limit = entry.idle_limit
            if at_most_once:
                limit = min(limit, self._at_most_once_limit(now))
            if now - entry.idle_since <= limit and _is_reusable(entry.connection):
                return entry
            entry.connection.close()
        return None

    def _pop(self, address: str, request_id: str) -> IdleConnection | None:
        """Remove the last connection over which ``request_id`` wasn't sent.

        If there is none, the first of those over which it was is closed.
        """
        with self._lock:
            idle = self._idle.get(address, [])
            for index in reversed(range(len(idle))):
                if request_id not in idle[index].connection.sent_ids:
                    return idle.pop(index)
            replaced = idle.pop(0) if idle else None
        if replaced is not None:
            replaced.connection.close()
        return None

    def keep(
        self, address: str, connection: CheckedConnection, idle_limit: float
    ) -> None:
        """Keep an open connection for up to ``idle_limit`` seconds."""
        self._close_unusable()
        if connection.sock is None:
            return
        if connection.sent_ids.is_full:
            connection.close()
            return
        entry = IdleConnection(
            connection=connection, idle_since=self._clock.now(), idle_limit=idle_limit
        )
        with self._lock:
            idle = self._idle.setdefault(address, [])
            has_room = len(idle) < MAX_IDLE_CONNECTIONS_PER_TARGET
            # Asked under the lock, so that a later close_all finds the entry.
            if has_room and self._may_keep():
                idle.append(entry)
                return
        connection.close()

    def record_lost(self) -> None:
        """Note that a connection, when used again, had been lost while it was idle."""
        self._doubted_until = self._clock.now() + DOUBT_SECONDS

    def close(self, address: str) -> None:
        """Close every idle connection to ``address``."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def close_all(self) -> None:
        """Close every idle connection."""
        with self._lock:
            addresses = tuple(self._idle)
        for address in addresses:
            self.close(address)

    def _at_most_once_limit(self, now: float) -> float:
        if now < self._doubted_until:
            return AT_MOST_ONCE_DOUBTED_LIMIT_SECONDS
        return AT_MOST_ONCE_IDLE_LIMIT_SECONDS

    def _close_unusable(self) -> None:
        """Close the idle connections that won't be used again, once in a while.

        The last one of a target is reused first, so others may stay unused for good,
        and what the target sends on them stays in the memory of the kernel.
        """
        now = self._clock.now()
        unusable = []
        with self._lock:
            if now < self._next_check:
                return
            self._next_check = now + IDLE_CHECK_INTERVAL_SECONDS
            for address, idle in list(self._idle.items()):
                usable = _usable(idle, now)
                unusable += [entry for entry in idle if entry not in usable]
                if usable:
                    self._idle[address] = usable
                else:
                    del self._idle[address]
        for entry in unusable:
            entry.connection.close()


def idle_limit_seconds(keep_alive: str) -> float:
    """Return how long a connection may be idle, given a Keep-Alive header value."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            advertised = min(float(value), MAX_IDLE_LIMIT_SECONDS)
            return max(0.0, advertised - IDLE_MARGIN_SECONDS)
    return DEFAULT_IDLE_LIMIT_SECONDS


def _usable(idle: list[IdleConnection], now: float) -> list[IdleConnection]:
    """Return those of ``idle`` that have not expired and have no unread data."""
    return [
        entry
        for entry in idle
        if now - entry.idle_since <= entry.idle_limit and _is_reusable(entry.connection)
    ]


def _is_reusable(connection: CheckedConnection) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    sock = connection.sock
    return sock is not None and not wait_for_read(sock, timeout=0)
