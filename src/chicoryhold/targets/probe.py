"""Opens connections to several addresses at once to see which of them answer."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager

from chicoryhold.clock import Clock

MILLISECONDS_PER_SECOND = 1000


def reached_addresses(
    addresses: Iterable[str], *, timeout: float, clock: Clock
) -> tuple[str, ...]:
    """Return the addresses at which a connection was opened within ``timeout``.

    Returns as soon as one was opened or all have failed. The connections are closed.
    """
    deadline = clock.now() + timeout
    with ExitStack() as stack:
        pending = {}
        for address in addresses:
            connecting = stack.enter_context(_connecting(address))
            pending[connecting.fileno()] = (address, connecting)
        return _wait_for_first(pending, deadline, clock)


@contextmanager
def _connecting(address: str) -> Iterator[socket.socket]:
    host, _, port = address.rpartition(":")
    with socket.socket() as connecting:
        connecting.setblocking(False)
        # A failure that is known at once is reported by the poll like a later one.
        connecting.connect_ex((host, int(port)))
        yield connecting


def _wait_for_first(
    pending: dict[int, tuple[str, socket.socket]], deadline: float, clock: Clock
) -> tuple[str, ...]:
    poll = select.poll()
    for descriptor in pending:
        poll.register(descriptor, select.POLLOUT)
    while pending:
        # Polls once more after the deadline: this process may not have run until then.
        remaining = max(0.0, deadline - clock.now())
        events = poll.poll(remaining * MILLISECONDS_PER_SECOND)
        reached = []
        for descriptor, _ in events:
            poll.unregister(descriptor)
            address, connecting = pending.pop(descriptor)
            if _is_connected(connecting):
                reached.append(address)
        if reached or not events and remaining <= 0:
            return tuple(reached)
    return ()


def _is_connected(connecting: socket.socket) -> bool:
    if connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True
