"""Clients that keep sending to hosts that stop."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from random import Random
from typing import Protocol

import attrs

from bench.stops.hosts import EntryHost
from bench.stops.operator import HOST_NAME, SAFE_PREFIX, UNSAFE_PREFIX
from bench.stops.records import Ending, HostLife, Ledger, SentRequest
from bench.stops.wire import ClientConnection, Pace

MILLISECONDS_PER_SECOND = 1000
JOIN_TIMEOUT_SECONDS = 10.0
RECONNECT_PAUSE_SECONDS = 0.2


@attrs.frozen(kw_only=True)
class RequestTerms:
    """A request to send: its work at the target, and the sizes of both bodies."""

    safe: bool
    work_seconds: float
    deadline_seconds: float
    body_bytes: int = 0
    answer_bytes: int = 0


class Behaviour(Protocol):
    """What a client sends, when and how fast."""

    @property
    def name(self) -> str: ...

    @property
    def keeps_connection(self) -> bool: ...

    @property
    def receive_buffer(self) -> int | None: ...

    def pace(self, random: Random) -> Pace: ...

    def terms(self, random: Random) -> RequestTerms: ...

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        """Return the time of the next request, which may follow a stop signal.

        ``sent`` is the number of requests that this connection has carried. May block
        until the host is stopped.
        """
        ...


class Client:
    """Sends one request after the other to one host, over all its lives."""

    def __init__(
        self, *, name: str, behaviour: Behaviour, host: EntryHost, ledger: Ledger,
        random: Random, closing: threading.Event,
    ) -> None:  # fmt: skip
        self._name = name
        self._behaviour = behaviour
        self._host = host
        self._ledger = ledger
        self._random = random
        self._closing = closing
        self._connection: ClientConnection | None = None
        self._life: HostLife | None = None
        self._sent = 0
        self._count = 0

    def run(self) -> None:
        """Send requests until the run ends."""
        while not self._closing.is_set():
            if not self._connect():
                self._closing.wait(RECONNECT_PAUSE_SECONDS)
                continue
            self._wait_for_next_moment()
            if self._closing.is_set() or self._connection.has_ended:
                self._disconnect()
                continue
            self._send()
        self._disconnect()

    def _connect(self) -> bool:
        if self._connection is not None:
            return True
        try:
            self._connection = ClientConnection(self._host.address)
        except OSError:
            self._ledger.count_refused_connect()
            return False
        self._life = self._host.life
        self._sent = 0
        if self._behaviour.receive_buffer is not None:
            self._connection.limit_receive_buffer(self._behaviour.receive_buffer)
        return True

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _wait_for_next_moment(self) -> None:
        moment = self._behaviour.next_moment(self._random, self._life, self._sent)
        self._closing.wait(max(0.0, moment - time.monotonic()))

    def _send(self) -> None:
        terms = self._behaviour.terms(self._random)
        self._count += 1
        self._sent += 1
        request = SentRequest(
            request_id=f"{self._name}-{self._count}",
            client=self._behaviour.name,
            life=self._life,
            safe=terms.safe,
            deadline_seconds=terms.deadline_seconds,
            body_bytes=terms.body_bytes,
            answer_bytes=terms.answer_bytes,
        )
        self._ledger.add_request(request)
        pace = self._behaviour.pace(self._random)
        head = _request_head(request, terms, chunked=pace.chunked)
        self._connection.exchange(request, head, bytes(terms.body_bytes), pace=pace)
        answered = request.ending is Ending.ANSWERED
        if not (answered and self._behaviour.keeps_connection):
            self._disconnect()


def _request_head(request: SentRequest, terms: RequestTerms, *, chunked: bool) -> bytes:
    method = "POST" if chunked or terms.body_bytes or not terms.safe else "GET"
    prefix = SAFE_PREFIX if terms.safe else UNSAFE_PREFIX
    lines = [
        f"{method} {prefix}{request.request_id} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request.request_id}",
        f"Deadline-Ms: {int(terms.deadline_seconds * MILLISECONDS_PER_SECOND)}",
        f"Work-Seconds: {terms.work_seconds:.3f}",
        f"Answer-Bytes: {terms.answer_bytes}",
    ]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif method == "POST":
        lines.append(f"Content-Length: {terms.body_bytes}")
    return "\r\n".join((*lines, "", "")).encode()


@attrs.frozen(kw_only=True)
class ClientGroup:
    """Clients of one behaviour at each host, or only at the first one."""

    behaviour: Behaviour
    count: int
    first_host_only: bool = False


@contextmanager
def running_clients(
    *, groups: Sequence[ClientGroup], hosts: Sequence[EntryHost], ledger: Ledger,
    seed: int,
) -> Iterator[None]:  # fmt: skip
    """Run the clients of all groups until the block ends."""
    closing = threading.Event()
    threads = []
    for group in groups:
        group_hosts = hosts[:1] if group.first_host_only else hosts
        for host_number, host in enumerate(group_hosts):
            for number in range(group.count):
                name = f"{seed}-{host_number}-{group.behaviour.name}-{number}"
                client = Client(
                    name=name,
                    behaviour=group.behaviour,
                    host=host,
                    ledger=ledger,
                    random=Random(name),
                    closing=closing,
                )
                threads.append(threading.Thread(target=client.run, daemon=True))
    try:
        for thread in threads:
            thread.start()
        yield
    finally:
        closing.set()
        _join(threads)


def _join(threads: Sequence[threading.Thread]) -> None:
    """Wait for those that have started, for a limited time."""
    deadline = time.monotonic() + JOIN_TIMEOUT_SECONDS
    for thread in threads:
        if thread.ident is not None:
            thread.join(max(0.0, deadline - time.monotonic()))
