"""A stopping gateway breaks off a request at which its upstream is at work."""

from __future__ import annotations

import http.client
import signal
import sys
import time
from collections.abc import Callable
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
    configuration,
    route,
    run_case,
)

DEADLINE_SECONDS = 8.0
SHORT_SECONDS = 0.5
LONG_SECONDS = 4.6
STOP_AFTER_SECONDS = 0.5
WARM_UP_REQUESTS = 20
IDLE_SECONDS = 0.5
LONG_ID = "the-long-request"


def case(record: Record) -> int:
    zones = {"north-a": "north"}
    deployment = Deployment(
        record, zones=zones, controls=list(zones), gateways=["north-a"]
    )
    try:
        deployment.start()
        operator = Operator(deployment)
        long_route = route("a", "s", timeout_s=10.0)
        operator.configure(
            configuration(1, routes=[long_route], services=["s"], tenants=[])
        )
        seconds_of = one_slow_run()
        upstreams = [
            Upstream(
                deployment,
                instance=f"i-{number}",
                service="s",
                zone="north-a",
                work=seconds_of,
            )
            for number in range(2)
        ]
        deployment.wait_until_ready()
        gateway = deployment.gateways[0]
        connection = http.client.HTTPConnection(
            *gateway.front, timeout=DEADLINE_SECONDS
        )
        warm_up(connection, upstreams)
        time.sleep(IDLE_SECONDS)
        sent_at = time.monotonic()
        send(connection, LONG_ID, "/a/long")
        record.write(f"client: sends {LONG_ID}")
        time.sleep(STOP_AFTER_SECONDS)
        if TROUBLE:
            gateway.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        outcome, sealed = receive(connection)
        answered_at = time.monotonic()
        record.write(
            f"client: {LONG_ID}: {outcome}, sealed: {sealed}, "
            f"{answered_at - sent_at:.2f} s after it was sent"
        )
        time.sleep(LONG_SECONDS)
        return judge(record, upstreams, stopped_at, answered_at, outcome, sealed)
    finally:
        deployment.close()


def one_slow_run() -> Callable[[str], float]:
    """Return how long runs take: the first one of the long request is slow."""
    slow_runs = ["/a/long"]

    def seconds_of(path: str) -> float:
        if path not in slow_runs:
            return SHORT_SECONDS
        slow_runs.remove(path)
        return LONG_SECONDS

    return seconds_of


def send(connection: http.client.HTTPConnection, request_id: str, path: str) -> None:
    headers = {
        "Host": "shop.example",
        "Request-Id": request_id,
        "Affinity-Key": "7",
        "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
    }
    connection.request("GET", path, headers=headers)


def receive(connection: http.client.HTTPConnection) -> tuple[object, bool]:
    """Return the status, or the error, and whether it is an upstream's answer."""
    try:
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException) as error:
        return repr(error), False
    return response.status, "Server-Seal" in response.headers


def warm_up(connection: http.client.HTTPConnection, upstreams: list[Upstream]) -> None:
    """Send short requests until the gateway has met both upstreams."""
    until, served = time.monotonic() + 20, 0
    while served < WARM_UP_REQUESTS or len(upstreams) < 2:
        if time.monotonic() > until:
            raise CouldNotRun("short requests aren't served")
        send(connection, f"short{served:04d}", f"/a/{served}")
        status, _ = receive(connection)
        served += status == 200
        time.sleep(0.05)


def judge(
    record: Record,
    upstreams: list[Upstream],
    stopped_at: float,
    answered_at: float,
    outcome: object,
    sealed: bool,
) -> int:
    """Say whether the answer is the gateway's own while an upstream was at work.

    It isn't counted if an upstream is at work on it in the last sixth of the grace.
    """
    ends = [
        at
        for upstream in upstreams
        for at, request_id in upstream.finished
        if request_id == LONG_ID
    ]
    began = [
        at
        for upstream in upstreams
        for at, request_id, _ in upstream.arrivals
        if request_id == LONG_ID
    ]
    if not began or not ends:
        raise CouldNotRun("the long request didn't reach an upstream")
    last_sixth_at = stopped_at + BOUNDS["grace_s"] * 5 / 6
    broken_off = not sealed and answered_at < min(ends) < last_sixth_at
    text = (
        f"answer {outcome} {answered_at - stopped_at:.2f} s after the stop; the first "
        f"upstream had run it after {min(ends) - stopped_at:.2f} s; "
        f"{'broken off' if broken_off else 'not broken off'}"
    )
    record.write(f"judged: {text}")
    print(text)
    return BROKEN if broken_off else HELD


if __name__ == "__main__":
    run_case(FOLDER, case)
