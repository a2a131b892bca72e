"""Silent loss on single loopback connections, without privileges."""

from __future__ import annotations

import ctypes
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
# One classic BPF instruction: return 0, so keep nothing of the packet.
_DROP = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
_DROP_PROGRAM = struct.pack("HP", 1, ctypes.addressof(_DROP))


def drop_packets(sock: socket.socket) -> None:
    """Let the kernel drop all that arrives for ``sock``, as if it got lost."""
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _DROP_PROGRAM)


def accept_packets(sock: socket.socket) -> None:
    """End what :func:`drop_packets` began."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


@contextmanager
def open_tcp_sockets() -> Iterator[list[socket.socket]]:
    """Yield duplicates of this process's connected TCP sockets."""
    sockets = []
    for name in os.listdir("/proc/self/fd"):
        sock = _duplicate(int(name))
        if sock is not None:
            sockets.append(sock)
    try:
        yield [sock for sock in sockets if _is_connected(sock)]
    finally:
        for sock in sockets:
            sock.close()


def _duplicate(descriptor: int) -> socket.socket | None:
    """Return a duplicate of a socket, or ``None`` if there is no socket."""
    try:
        duplicate = os.dup(descriptor)
    except OSError:
        return None
    try:
        return socket.socket(fileno=duplicate)
    except OSError:
        os.close(duplicate)
        return None


def _is_connected(sock: socket.socket) -> bool:
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        return False
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
