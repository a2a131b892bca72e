"""A cut-off control host grants a new tenant permits without any limit."""

from __future__ import annotations

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
    tenant,
)

CUT_SECONDS = 5.5
RATE, BURST = 10.0, 10.0
ASKED_PER_SECOND = 70  # seven times the rate
SENDERS = 10
AFTER_SECONDS = 6.0


def case(record: Record) -> int:
    zones = {"north-a": "north", "north-b": "north", "north-c": "north"}
    deployment = Deployment(
        record, zones=zones, controls=list(zones), gateways=["north-a"]
    )
    stopped = threading.Event()
    links = deployment.put_links_before(deployment.controls[0])
    try:
        deployment.start()
        operator = Operator(deployment)
        old = tenant("old", key="key-of-the-old-tenant", rate=50, burst=50)
        new = tenant("new", key="key-of-the-new-tenant", rate=RATE, burst=BURST)
        others = deployment.controls[1:]
        configure(operator, 1, [old], first=others[0])
        upstreams = [
            Upstream(deployment, instance=f"i-{zone}", service="s", zone=zone)
            for zone in zones
        ]
        deployment.wait_until_ready()
        warm_up(deployment, upstreams)
        record.write(f"cut: {deployment.controls[0].ip} from the other control hosts")
        if TROUBLE:
            for link in links:
                link.cut()
        cut_at = time.monotonic()
        configure(operator, 2, [old, new], first=others[0])
        for number in range(SENDERS):
            threading.Thread(
                target=send_requests, args=(deployment, number, stopped)
            ).start()
        time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        for link in links:
            link.heal()
        record.write("cut: healed")
        time.sleep(AFTER_SECONDS)
        stopped.set()
        time.sleep(2.0)
        return judge(record, upstreams)
    finally:
        stopped.set()
        deployment.close()


def configure(
    operator: Operator, version: int, tenants: list[dict], *, first: object
) -> None:
    operator.configure(
        configuration(
            version, routes=[route("a", "s")], services=["s"], tenants=tenants
        ),
        first=first,
    )


def send(deployment: Deployment, request_id: str, key: str) -> object:
    headers = {
        "Host": "shop.example",
        "Request-Id": request_id,
        "Deadline-Ms": "2000",
        "Authorization": f"Bearer {key}",
    }
    address = deployment.gateways[0].front
    try:
        return call(address, "GET", f"/a/{request_id}", headers=headers, timeout=2)[0]
    except OSError as error:
        return repr(error)


def warm_up(deployment: Deployment, upstreams: list[Upstream]) -> None:
    """Send requests of the old tenant for some seconds."""
    until, number, served = time.monotonic() + 5, 0, 0
    while time.monotonic() < until:
        number += 1
        status = send(deployment, f"old{number:05d}", "key-of-the-old-tenant")
        served += status == 200
        time.sleep(0.05)
    if not served:
        raise CouldNotRun("no request was served before the cut")


def send_requests(
    deployment: Deployment, sender: int, stopped: threading.Event
) -> None:
    number = 0
    while not stopped.wait(SENDERS / ASKED_PER_SECOND):
        number += 1
        request_id = f"new{sender}x{number:05d}"
        status = send(deployment, request_id, "key-of-the-new-tenant")
        deployment.record.write(f"client: {request_id}: {status}")


def judge(record: Record, upstreams: list[Upstream]) -> int:
    """Count the requests of the new tenant in each window, by when they arrived.

    All are sent within a window that is this much longer than their travel time, so
    windows are shortened by the longest time that a request was on its way.
    """
    window = BOUNDS["quota_window_s"]
    allowed = (RATE * window + BURST) * (1 + BOUNDS["quota_overage"])
    allowed += BOUNDS["quota_slack"]
    ran = sorted(
        at
        for upstream in upstreams
        for at, _, headers in upstream.arrivals
        if headers.get("Tenant") == "new"
    )
    shortened = window - 1.0
    most = max(
        (sum(1 for at in ran if start <= at <= start + shortened) for start in ran),
        default=0,
    )
    text = f"{most} requests ran in {shortened:g} s; {allowed:g} may in {window:g} s"
    record.write(f"judged: {text}")
    print(text)
    if not ran:
        raise CouldNotRun("no request of the new tenant ran")
    return BROKEN if most > allowed else HELD


if __name__ == "__main__":
    run_case(FOLDER, case)
