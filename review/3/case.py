"""A withdrawn order, read late by a paused control host, undoes an evacuation."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    TROUBLE,
    CouldNotRun,
    Deployment,
    Operator,
    Record,
    Upstream,
    call,
    configuration,
    route,
    run_case,
)

ZONES = ("north-a", "north-b", "north-c")  # evacuated; a fourth zone goes on
PAUSE_SECONDS = 3.5
ROUNDS = 5  # at most; a paused host may also notice first that the sender has left
REQUEST_INTERVAL_SECONDS = 0.05
JUDGED_SECONDS = 4.0


def case(record: Record) -> int:
    zones = dict.fromkeys([*ZONES, "north-d"], "north")
    deployment = Deployment(
        record, zones=zones, controls=list(ZONES), gateways=["north-a", "north-d"]
    )
    stopped = threading.Event()
    try:
        deployment.start()
        operator = Operator(deployment)
        operator.configure(
            configuration(1, routes=[route("a", "s")], services=["s"], tenants=[])
        )
        upstreams = {
            zone: Upstream(deployment, instance=f"i-{zone}", service="s", zone=zone)
            for zone in zones
        }
        deployment.wait_until_ready()
        threading.Thread(target=send_requests, args=(deployment, stopped)).start()
        for zone in ZONES:
            wait_for_arrivals(upstreams[zone], after=time.monotonic())
            operator.order("POST", f"/evacuation/{zone}")
        time.sleep(BOUNDS["contact_s"])
        for _ in range(ROUNDS):
            due_at = pause_and_repeat(deployment, operator)
            time.sleep(due_at + JUDGED_SECONDS - time.monotonic())
            if late_arrivals(record, upstreams, due_at):
                return BROKEN
        return HELD
    finally:
        stopped.set()
        deployment.close()


def pause_and_repeat(deployment: Deployment, operator: Operator) -> float:
    """End and repeat the evacuations while a control host is paused.

    Returns when no request may reach the zones any more.
    """
    leader = deployment.leader()
    paused, other = [host for host in deployment.controls if host is not leader]
    if TROUBLE:
        paused.signal(signal.SIGSTOP)
    paused_at = time.monotonic()
    acked_at: list[float] = []

    def end_and_repeat(zone: str) -> None:
        operator.order("DELETE", f"/evacuation/{zone}", first=paused)
        acked_at.append(operator.order("POST", f"/evacuation/{zone}", first=other))

    threads = [threading.Thread(target=end_and_repeat, args=(zone,)) for zone in ZONES]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(acked_at) < len(ZONES):
        raise CouldNotRun("an order was not acknowledged")
    time.sleep(max(0.0, paused_at + PAUSE_SECONDS - time.monotonic()))
    if TROUBLE:
        paused.signal(signal.SIGCONT)
    return max(
        max(acked_at) + BOUNDS["evacuate_s"] + BOUNDS["max_stretch_s"],
        time.monotonic() + BOUNDS["contact_s"],
    )


def late_arrivals(record: Record, upstreams: dict[str, Upstream], due_at: float) -> int:
    """Return how many requests have reached the zones since ``due_at``."""
    late = {
        zone: sum(at > due_at for at, _, _ in upstream.arrivals)
        for zone, upstream in upstreams.items()
    }
    text = f"requests after the bound, by zone: {late}; evacuated: {ZONES}"
    record.write(f"judged: {text}")
    print(text)
    if not any(late.values()):
        raise CouldNotRun("no request is served")
    return sum(late[zone] for zone in ZONES)


def send_requests(deployment: Deployment, stopped: threading.Event) -> None:
    number = 0
    while not stopped.wait(REQUEST_INTERVAL_SECONDS):
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        headers = {
            "Host": "shop.example",
            "Request-Id": f"r{number:06d}",
            "Affinity-Key": str(number),
            "Deadline-Ms": "2000",
        }
        try:
            status, _, _ = call(
                gateway.front, "GET", f"/a/{number}", headers=headers, timeout=2
            )
        except OSError as error:
            status = repr(error)
        deployment.record.write(f"client: r{number:06d} to {gateway.ip}: {status}")


def wait_for_arrivals(upstream: Upstream, *, after: float) -> None:
    until = time.monotonic() + 20
    while not any(at > after for at, _, _ in upstream.arrivals):
        if time.monotonic() > until:
            raise CouldNotRun("no request reaches the zone before its evacuation")
        time.sleep(0.1)


if __name__ == "__main__":
    run_case(FOLDER, case)
