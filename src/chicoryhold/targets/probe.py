"""Opens connections to several addresses at once to see which of them answer."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Iterable
from contextlib import ExitStack

import attrs

from chicoryhold.clock import Clock
from chicoryhold.targets.address import TargetAddress, parse_address

MILLISECONDS_PER_SECOND = 1000
# Errors of a connect that sent nothing since this host had no port or memory left.
LOCAL_ERRORS = frozenset(
    {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM}
)
# A target that rejects a connect causes ECONNREFUSED; these follow a handshake.
ERRORS_AFTER_HANDSHAKE = frozenset({errno.ECONNRESET, errno.EPIPE})


@attrs.frozen(kw_only=True)
class ProbeOutcome:
    """The addresses that a probe reached and those that it tried in vain.

    Addresses at which no connect could be tried are in neither.
    """

    reached: tuple[str, ...]
    failed: tuple[str, ...]


def probe_addresses(
    addresses: Iterable[str], *, timeout: float, clock: Clock
) -> ProbeOutcome:
    """Try to open a connection to each of ``addresses`` within ``timeout``.

    Returns as soon as one was opened or all have failed. The connections are closed.
    Invalid addresses are skipped. Raises ``OSError`` if no socket can be created.
    """
    deadline = clock.now() + timeout
    pending: dict[int, tuple[str, socket.socket]] = {}
    failed: list[str] = []
    with ExitStack() as stack:
        for address in addresses:
            target = _parse(address)
            connecting = _create_socket(target) if target else None
            if target is None or connecting is None:
                continue
            stack.enter_context(connecting)
            error = _start_connecting(connecting, target)
            if error in (0, errno.EINPROGRESS):
                pending[connecting.fileno()] = (address, connecting)
            elif error not in LOCAL_ERRORS:
                failed.append(address)
        reached = _wait_for_first(pending, failed, deadline, clock)
    return ProbeOutcome(reached=reached, failed=tuple(failed))


def _parse(address: str) -> TargetAddress | None:
    try:
        return parse_address(address)
    except ValueError:
        return None


def _create_socket(target: TargetAddress) -> socket.socket | None:
    """Return a socket, or ``None`` if this host lacks the version of IP."""
    try:
        return socket.socket(target.family)
    except OSError as error:
        if error.errno == errno.EAFNOSUPPORT:
            return None
        raise


def _start_connecting(connecting: socket.socket, target: TargetAddress) -> int:
    """Return 0 or the error number of the connect."""
    connecting.setblocking(False)
    return connecting.connect_ex((str(target.ip), target.port))


def _wait_for_first(
    pending: dict[int, tuple[str, socket.socket]], failed: list[str],
    deadline: float, clock: Clock,
) -> tuple[str, ...]:  # fmt: skip
    """Return the addresses reached first; add those that failed to ``failed``."""
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
            (reached if _has_connected(connecting) else failed).append(address)
        if reached:
            return tuple(reached)
        if not events and remaining <= 0:
            failed += [address for address, _ in pending.values()]
            break
    return ()


def _has_connected(connecting: socket.socket) -> bool:
    error = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return error == 0 or error in ERRORS_AFTER_HANDSHAKE
