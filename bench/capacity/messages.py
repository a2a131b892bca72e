"""Size of messages, and the CPU time that they take on the bus."""

from __future__ import annotations

import tempfile
from contextlib import ExitStack
from pathlib import Path

from bench.capacity.domains import announcement
from bench.measuring import Row, cpu_seconds_per_call
from chicoryhold.codec import decode, encode
from chicoryhold.control.messages import FetchChanges, HostReport
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.hosts.curve import create_key_files
from chicoryhold.hosts.messages import BorrowReply, BorrowRequest, Hello, HelloReply
from chicoryhold.programs.curve_bus import create_curve_bus
from chicoryhold.trial.fleet import free_address


def measure_messages() -> list[Row]:
    reports = tuple(
        HostReport(host=f"north-a-{n}", domain="north-a", revision=10**6, age=0.5)
        for n in range(63)
    )
    messages = {
        "hello": Hello(host="north-a-117"),
        "announcement": announcement(1),
        "borrow request": BorrowRequest(
            organisation="o", domain="north-a", sequence=2**40, capacity=3, rate=5
        ),
        "borrow reply": BorrowReply(
            capacity=3, rate=5, tokens=3, seconds=2, serial=str(2**40)
        ),
        "fetch without reports": FetchChanges(after=10**6),
        "fetch with 63 reports": FetchChanges(after=10**6, reports=reports),
    }
    rows = [
        Row(quantity=label, size="-", value=len(encode(message)), unit="B")
        for label, message in messages.items()
    ]
    for hosts in (0, 4, 126, 250):
        names = tuple(f"north-a-{n}" for n in range(hosts))
        reply = HelloReply(
            control_age=0.1,
            generation="0" * 12,
            coordinator="north-a-1",
            epoch=7,
            digest="0" * 12,
            hosts=names or None,
        )
        size = f"{hosts} hosts" if hosts else "list unchanged"
        rows.append(
            Row(quantity="hello reply", size=size, value=len(encode(reply)), unit="B")
        )
        seconds = cpu_seconds_per_call(lambda r=reply: decode(encode(r)), calls=200)
        rows.append(
            Row(
                quantity="hello reply",
                size=size,
                value=seconds * 1e6,
                unit="µs of a core",
            )
        )
    return rows


def measure_bus() -> list[Row]:
    """Measure the CPU time of a request and its reply between two buses.

    Both ends run in this process, so half of each figure belongs to either.
    """
    rows = []
    with tempfile.TemporaryDirectory() as folder, ExitStack() as stack:
        names = ("north-a-1", "north-a-2")
        for name in names:
            create_key_files(Path(folder), name)
        addresses = {name: free_address("127.0.0.1") for name in names}
        buses = [
            stack.enter_context(
                running_bus(
                    create_curve_bus(
                        name=name,
                        address=addresses[name],
                        key_folder=Path(folder),
                        peers=addresses,
                    )
                )
            )
            for name in names
        ]
        buses[1].handle(FetchChanges, lambda sender, message: message)
        # Connects, so that the handshake isn't measured.
        buses[0].call("north-a-2", FetchChanges(after=1), timeout=5)
        for concurrency in (1, 8, 64):
            seconds = cpu_seconds_per_call(
                lambda n=concurrency: send_requests(buses[0], n), calls=30
            )
            label = f"{concurrency} at once"
            microseconds = seconds / concurrency * 1e6
            rows.append(
                Row(
                    quantity="ask, both ends",
                    size=label,
                    value=microseconds,
                    unit="µs of a core",
                )
            )
    return rows


def send_requests(bus: Bus, count: int) -> None:
    """Send ``count`` requests at once and wait for all replies."""
    futures = [bus.ask("north-a-2", FetchChanges(after=1)) for _ in range(count)]
    for future in futures:
        future.result(5)
