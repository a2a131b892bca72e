"""IDs that many threads send at once over shared connections to one target."""

from __future__ import annotations

import random
import socket
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import attrs
from wiring.targets import DIALECT

from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed, RequestNotSent
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest
from tests.test_repeated_ids import CopyingTarget, _response, serving

THREADS = 8
REQUESTS = 200  # of each thread
IDS = 5
SECONDS = 5.0


@attrs.define(kw_only=True)
class LateTarget(CopyingTarget):
    """Names in each response the send that it answers, and copies it at random.

    A copy follows its response at once, in two pieces, or just before the next one.
    """

    random: random.Random = attrs.field(factory=lambda: random.Random(7))
    most_of_an_id: int = 0  # requests of one ID over one connection

    def serve(self, connection: socket.socket) -> None:
        ids: Counter[str] = Counter()
        copy = b""
        with connection, suppress(OSError):
            while request := _read_head(connection):
                request_id, number = request
                ids[request_id] += 1
                self.most_of_an_id = max(self.most_of_an_id, ids[request_id])
                response = _response(
                    "503 Busy", request_id, f"Not-Executed: 1\r\nNumber: {number}\r\n"
                ).encode()
                connection.sendall(copy + response)
                copy = b""
                match self.random.randrange(4):
                    case 0:
                        connection.sendall(response)
                    case 1:
                        connection.sendall(response[:20])
                        copy = response[20:]
                    case 2:
                        copy = response


def _read_head(connection: socket.socket) -> tuple[str, str] | None:
    head = b""
    while b"\r\n\r\n" not in head:
        data = connection.recv(65_536)
        if not data:
            return None
        head += data
    fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2])
    return fields["Request-Id"], fields["Number"]


def test_no_thread_gets_the_response_to_another_send_of_its_id():
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    target = LateTarget()
    outcomes: Counter[str] = Counter()

    def send_all(thread: int) -> None:
        chosen = random.Random(thread)
        for count in range(REQUESTS):
            number = f"{thread}-{count}"
            deadline = BootClock().now() + SECONDS
            request = OutgoingRequest(
                request_id=f"r{chosen.randrange(IDS)}",
                method="GET",
                path="/",
                headers={"Number": number},
                body=b"",
                at_most_once=bool(chosen.randrange(2)),
            )
            try:
                response = connections.exchange(
                    target.address,
                    request,
                    deadline=deadline,
                    stale_connection_deadline=deadline,
                )
            except (ExchangeFailed, RequestNotSent) as error:
                outcomes[type(error).__name__] += 1
            else:
                outcomes["own" if response.header("Number") == number else "other"] += 1

    with serving(target), ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(send_all, range(THREADS)))
    connections.close_all_idle()
    assert not outcomes["other"]
    assert target.most_of_an_id == 1
    assert outcomes["own"] > THREADS * REQUESTS / 2
