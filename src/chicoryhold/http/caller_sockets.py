"""What the kernel knows of a caller's connection."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
import time

from loguru import logger

from chicoryhold.clock import BootClock

LINGER_SECONDS = 2.0
LINGER_CHECK_SECONDS = 0.02

_CLOCK = BootClock()


def has_ended(connection: socket.socket) -> bool:
    """Return whether the peer has closed ``connection`` and nothing is left to read.

    The thread that reads finds out too, but late if the process gets little processor
    time: then the request and its end are read together.
    """
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug("http: a caller's connection is broken: {}.", error)
        return True


def has_unread(connection: socket.socket) -> bool:
    """Return whether the peer has sent something that wasn't read."""
    try:
        return bool(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        # Nothing was sent, or the connection is broken: nothing can be read.
        return False


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return how much was written that the peer's kernel hasn't received yet."""
    try:
        answer = fcntl.ioctl(connection, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError as error:
        logger.debug("http: unacknowledged bytes aren't known: {}.", error)
        return 0
    return struct.unpack("i", answer)[0]


def close_when_delivered(
    connection: socket.socket, lingering: set[socket.socket]
) -> None:
    """Close ``connection`` once its peer has received all, or in ``LINGER_SECONDS``."""
    until = _CLOCK.now() + LINGER_SECONDS
    while unacknowledged_bytes(connection) and _CLOCK.now() < until:
        time.sleep(LINGER_CHECK_SECONDS)
    connection.close()
    lingering.discard(connection)
