"""What a failure domain's coordinator and claim replicas need."""

from __future__ import annotations

import time

from bench.measuring import Row, allocate_traced, cpu_seconds_per_call, slope
from chicoryhold.claims.replica import ClaimReplica
from chicoryhold.clock import BootClock
from chicoryhold.codec import decode, encode
from chicoryhold.hosts.messages import (
    Admit,
    Announcement,
    ClaimName,
    RecordClaim,
    Release,
)
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import AnswerRequest
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry


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
