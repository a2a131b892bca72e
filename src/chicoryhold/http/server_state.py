"""What the connections of one HTTP server share."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from chicoryhold.clock import BootClock
from chicoryhold.http.connection_room import ConnectionRoom
from chicoryhold.http.open_requests import Departures
from chicoryhold.http.pipeline import OverlapRule, ReceivedRequest, overlaps_none
from chicoryhold.shared_memory import SharedMemory

if TYPE_CHECKING:
    from chicoryhold.http.channel import Channel

_CLOCK = BootClock()


@attrs.define(kw_only=True)
class ServerState:
    """What the channels of one server share: what they are to do, and what is open.

    While ``should_close()`` is true, connections are closed after their next response.
    While ``closes_idle`` is set, they are closed as soon as they are idle. While
    ``refuses`` is set, the application refuses every request, so the rest of a request
    that is still being received isn't waited for. ``request_id_header`` is the name
    under which waitress keeps that header. Requests of one connection for which
    ``may_overlap`` is true are handled side by side. ``room`` limits the connections,
    ``body_memory`` what the bodies of all requests hold.

    ``running`` has the requests that are being handled and their channels, also if
    their caller has left. ``lingering`` are sockets that are closed once their peer has
    got all. With ``drops_departed``, requests whose callers left before they were read
    are dropped, and counted in ``departures``.
    """

    should_close: Callable[[], bool]
    room: ConnectionRoom
    request_id_header: str = ""
    closes_idle: bool = False
    refuses: bool = False
    may_overlap: OverlapRule = overlaps_none
    drops_departed: bool = False
    body_memory: SharedMemory = attrs.field(factory=SharedMemory)
    running: dict[ReceivedRequest, Channel] = attrs.field(factory=dict)
    lingering: set[socket.socket] = attrs.field(factory=set)
    departures: Departures = attrs.field(factory=lambda: Departures(clock=_CLOCK))
