"""Measures how state, messages, CPU time and memory grow with size.

Run it with ``make capacity``. It prints Markdown tables; docs/CAPACITY.md uses the
slopes.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random

from bench.measuring import (
    Row,
    allocate_traced,
    cpu_seconds_per_call,
    print_rows,
    slope,
)
from chicoryhold.claims.replica import ClaimReplica
from chicoryhold.clock import BootClock
from chicoryhold.codec import decode, encode
from chicoryhold.consensus.messages import Entry, Members
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import FetchChanges, HostReport
from chicoryhold.control.storage import open_storage
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.hosts.curve import create_key_files, load_key_pair, load_public_keys
from chicoryhold.hosts.messages import (
    Admit,
    Announcement,
    BorrowReply,
    BorrowRequest,
    ClaimName,
    Hello,
    HelloReply,
    RecordClaim,
    Release,
)
from chicoryhold.hosts.transport import CurveTransport
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.state.changes import Change, CreateOrganisation, GiveKey, PutTable
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.table import OrganisationLimits, check_table, parse_table
from chicoryhold.steering.client_blocks import Block, ClientBlocks
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import AnswerRequest
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry
from chicoryhold.trial.fleet import free_address

SEED = 20261204


def main() -> None:
    """Run every measurement and print the results."""
    print(f"seed {SEED}, Python {sys.version.split()[0]}, {os.cpu_count()} cores")
    print_rows("Memory of an idle process", measure_processes())
    print_rows("Client blocks", measure_blocks())
    print_rows("Control state", measure_state())
    print_rows("Table", measure_table())
    print_rows("Changes", measure_changes())
    print_rows("Disk", measure_disk())
    print_rows("Coordinator", measure_coordinator())
    print_rows("Claims", measure_claims())
    print_rows("Messages", measure_messages())
    print_rows("Messages over sockets", measure_bus())


def measure_processes() -> list[Row]:
    """Measure the resident memory of Python processes that only import modules."""
    modules = {
        "interpreter alone": "sys",
        "control replica's modules": "chicoryhold.programs.control",
        "entry host's modules": "chicoryhold.programs.entry",
    }
    rows = []
    for label, module in modules.items():
        code = f"import {module}; print(open('/proc/self/status').read())"
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        rss_line = next(
            x for x in completed.stdout.splitlines() if x.startswith("VmRSS")
        )
        rows.append(
            Row(
                quantity=label,
                size="-",
                value=int(rss_line.split()[1]) / 1024,
                unit="MB",
            )
        )
    return rows


def random_blocks(count: int) -> list[Block]:
    """Return ``count`` distinct random /24 blocks of 4,600 domains."""
    random = Random(SEED)
    networks = random.sample(range(1 << 24), count)
    return [
        Block(first=network << 8, prefix=24, domain_index=index % 4600)
        for index, network in enumerate(networks)
    ]


def measure_blocks() -> list[Row]:
    random = Random(SEED)
    rows = []
    sizes = (100_000, 400_000, 1_600_000)
    memory_by_size = []
    for size in sizes:
        blocks = random_blocks(size)
        started = time.process_time()
        client_blocks = ClientBlocks(blocks)
        load_seconds = time.process_time() - started
        # Each range takes six bytes in the arrays.
        memory_bytes = 6 * len(client_blocks)
        memory_by_size.append(memory_bytes)
        addresses = [random.getrandbits(32) for _ in range(100_000)]
        look_up = client_blocks.domain_index_of
        lookup_seconds = cpu_seconds_per_call(
            lambda a=addresses, f=look_up: list(map(f, a)), calls=1
        )
        label = f"{size:,} blocks"
        rows += [
            Row(quantity="arrays", size=label, value=memory_bytes / 1e6, unit="MB"),
            Row(quantity="load", size=label, value=load_seconds, unit="s of a core"),
            Row(
                quantity="find",
                size=label,
                value=1e5 / lookup_seconds,
                unit="per s and core",
            ),
        ]
        del blocks, client_blocks
    rows.append(
        Row(
            quantity="slope",
            size="-",
            value=slope(sizes, memory_by_size),
            unit="B a block",
        )
    )
    return rows


def change(number: int, body: object) -> Change:
    """Return a change with a request ID made from ``number``."""
    return Change(request_id=f"{number:032x}", operator="ana", body=encode(body))


def filled_state(
    organisations: int, keys: int, max_request_records: int
) -> ControlState:
    """Return a state that keeps up to ``max_request_records`` outcomes of changes."""
    state = ControlState(max_request_records=max_request_records)
    for number in range(organisations):
        state.apply(change(number, CreateOrganisation(name=f"org-{number}")))
    for number in range(keys):
        body = GiveKey(
            organisation=f"org-{number % organisations}",
            key_id=f"{number:08x}",
            digest=f"{number:064x}",
        )
        state.apply(change(organisations + number, body))
    return state


def measure_state() -> list[Row]:
    rows = []
    sizes = (1_000, 10_000, 40_000)
    memory_by_size = []
    for size in sizes:
        memory_bytes, state = allocate_traced(lambda n=size: filled_state(100, n, 0))
        memory_by_size.append(memory_bytes)
        image_bytes = len(state.image(for_replica=False))
        label = f"{size:,} keys"
        rows += [
            Row(quantity="held", size=label, value=memory_bytes / 1e6, unit="MB"),
            Row(
                quantity="image for hosts",
                size=label,
                value=image_bytes / 1e6,
                unit="MB",
            ),
        ]
    rows.append(
        Row(
            quantity="slope",
            size="-",
            value=slope(sizes, memory_by_size),
            unit="B a key",
        )
    )
    memory_with_requests = []
    for size in sizes:
        memory_bytes, state = allocate_traced(lambda n=size: filled_state(100, n, n))
        memory_with_requests.append(memory_bytes)
        seconds = cpu_seconds_per_call(state.image, calls=1)
        label = f"{size:,} remembered requests"
        rows.append(
            Row(quantity="snapshot", size=label, value=seconds, unit="s of a core")
        )
    bytes_per_request = slope(sizes, memory_with_requests) - slope(
        sizes, memory_by_size
    )
    rows.append(
        Row(quantity="slope", size="-", value=bytes_per_request, unit="B a request id")
    )
    return rows


def table_text(rows: int) -> str:
    lines = [f"organisation,org-{n},rate,{n + 1},requests/s" for n in range(rows)]
    return "scope,name,field,value,unit\n" + "\n".join(lines) + "\n"


def measure_table() -> list[Row]:
    rows = []
    for size in (100, 1_000, 10_000):
        text = table_text(size)
        label = f"{size:,} rows"
        check_seconds = cpu_seconds_per_call(lambda t=text: check_table(t), calls=1)
        parse_seconds = cpu_seconds_per_call(lambda t=text: parse_table(t), calls=1)
        message_bytes = len(encode(change(1, PutTable(text=text))))
        rows += [
            Row(
                quantity="check",
                size=label,
                value=check_seconds * 1e3,
                unit="ms of a core",
            ),
            Row(
                quantity="parse",
                size=label,
                value=parse_seconds * 1e3,
                unit="ms of a core",
            ),
            Row(
                quantity="one change", size=label, value=message_bytes / 1e3, unit="KB"
            ),
        ]
    return rows


def measure_changes() -> list[Row]:
    rows = []
    for size in (1_000, 10_000, 40_000):
        state = filled_state(100, size, 0)
        feed = ChangeFeed(state=state)
        # Above the numbers that filled_state() used for request IDs.
        number = size + 1000

        def apply_change(state=state, feed=feed) -> None:
            nonlocal number
            number += 1
            new_change = change(number, CreateOrganisation(name=f"new-{number}"))
            state.apply(new_change)
            feed.record(new_change)

        apply_seconds = cpu_seconds_per_call(apply_change, calls=100)
        batch = feed.answer(FetchChanges(after=state.revision - 1), confirmed_age=0)
        serve_seconds = cpu_seconds_per_call(
            lambda f=feed, s=state: encode(
                f.answer(FetchChanges(after=s.revision - 1), confirmed_age=0)
            ),
            calls=500,
        )
        label = f"{size:,} keys"
        rows += [
            Row(
                quantity="apply one",
                size=label,
                value=apply_seconds * 1e6,
                unit="µs of a core",
            ),
            Row(
                quantity="serve one",
                size=label,
                value=serve_seconds * 1e6,
                unit="µs a follower",
            ),
            Row(
                quantity="batch of one", size=label, value=len(encode(batch)), unit="B"
            ),
        ]
    return rows


def measure_disk() -> list[Row]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        with open_storage(Path(folder) / "data") as storage:
            for size in (1, 10, 100):
                command = encode(change(1, CreateOrganisation(name="x")))
                entries = [
                    Entry(index=i + 1, term=1, command=command) for i in range(size)
                ]
                durations = []
                for _ in range(30):
                    started = time.perf_counter()
                    storage.append(entries)
                    durations.append(time.perf_counter() - started)
                median_ms = sorted(durations)[15] * 1e3
                label = f"{size} entries at once"
                rows.append(
                    Row(
                        quantity="append, synced",
                        size=label,
                        value=median_ms,
                        unit="ms",
                    )
                )
            log = storage.load_log(Members(voters=("a",)))
            rows.append(
                Row(quantity="log read", size="-", value=log.last_index, unit="entries")
            )
    return rows


def create_coordinator(target_count: int) -> Coordinator:
    clock = BootClock()
    limits = DomainLimits(
        domain="d1",
        domains=("d1", "d2"),
        limits_of=lambda _: OrganisationLimits(rate=1e6, burst=1_000_000),
        clock=clock,
        epoch=1,
    )
    coordinator = Coordinator(
        epoch=1,
        limits=limits,
        targets=TargetRegistry(clock=clock),
        shifts=ShiftLimiter(clock=clock, shifts=lambda: ()),
        weight_of=lambda _: 1.0,
        clock=clock,
    )
    for number in range(target_count):
        coordinator.announce(announcement(number))
    return coordinator


def announcement(number: int, sequence: int = 1) -> Announcement:
    return Announcement(
        service="menus",
        address=f"10.0.{number // 250}.{number % 250}:80",
        instance=f"{number:032x}",
        sequence=sequence,
        slots=5,
        connections=900,
    )


def measure_coordinator() -> list[Row]:
    rows = []
    sizes = (16, 71, 200)
    for size in sizes:
        coordinator = create_coordinator(size)
        # The token bucket starts empty and needs time to fill.
        time.sleep(0.05)
        request = Admit(organisation="org", service="menus", patience=1.0)

        def admit_and_release(coordinator=coordinator, request=request) -> None:
            coordinator.admit(1, decode(encode(request)))
            for effect in coordinator.take_effects():
                if isinstance(effect, AnswerRequest):
                    encode(effect.answer)
                    grant = getattr(effect.answer, "grant", "")
                    coordinator.release(Release(grant=grant, ok=True, latency=0.01))

        seconds = cpu_seconds_per_call(admit_and_release, calls=1000)
        label = f"{size} targets of one service"
        rows.append(
            Row(
                quantity="admit, release",
                size=label,
                value=seconds * 1e6,
                unit="µs of a core",
            )
        )
    return rows


def measure_claims() -> list[Row]:
    rows = []
    sizes = (1_000, 5_000, 20_000)
    memory_by_size = []
    for size in sizes:

        def create_replica(size=size) -> ClaimReplica:
            replica = ClaimReplica(clock=BootClock(), new_name=lambda: "0a")
            for number in range(size):
                replica.record(claim(number))
            return replica

        memory_bytes, replica = allocate_traced(create_replica)
        memory_by_size.append(memory_bytes)
        seconds = cpu_seconds_per_call(
            lambda r=replica: encode(r.record(decode(encode(claim(1))))), calls=500
        )
        label = f"{size:,} claims"
        rows += [
            Row(quantity="held", size=label, value=memory_bytes / 1e6, unit="MB"),
            Row(
                quantity="record", size=label, value=seconds * 1e6, unit="µs of a core"
            ),
        ]
    rows.append(
        Row(
            quantity="slope",
            size="-",
            value=slope(sizes, memory_by_size),
            unit="B a claim",
        )
    )
    return rows


def claim(number: int) -> RecordClaim:
    key = f"north-a.{'0' * 12}-{'1' * 12}-{'2' * 12}~{number:032x}"
    return RecordClaim(
        generation="0a",
        name=ClaimName(organisation="org", key=key),
        digest=b"d" * 32,
        attempt=f"{number:032x}",
    )


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
                    Bus(
                        name=name,
                        address=addresses[name],
                        transport=CurveTransport(
                            keys=load_key_pair(Path(folder), name),
                            authorized=load_public_keys(Path(folder)),
                            peers=addresses,
                        ),
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


if __name__ == "__main__":
    main()
