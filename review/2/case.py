"""Control hosts are replaced two at a time, and the control group ends for good."""

from __future__ import annotations

import http.client
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    TROUBLE,
    Deployment,
    Operator,
    Record,
    call,
    configuration,
    route,
    run_case,
)

SUCCESSOR_AFTER_SECONDS = 1.0
# The successors of the first two have had ``catch_up_s`` and some seconds more.
BETWEEN_SECONDS = BOUNDS["catch_up_s"] + 3.0
JUDGED_SECONDS = 40.0


def case(record: Record) -> int:
    zones = {
        "buc-a": "muntenia",
        "cluj-a": "transilvania",
        "iasi-a": "moldova-ro",
        "buc-b": "muntenia",
        "cluj-b": "transilvania",
        "iasi-b": "moldova-ro",
    }
    deployment = Deployment(
        record, zones=zones, controls=list(zones), gateways=["buc-a"], spares=4
    )
    try:
        deployment.start()
        operator = Operator(deployment)
        configure(operator, 1)
        deployment.wait_until_ready()
        time.sleep(10.0)  # as before the start of traffic
        configure(operator, 2)
        if TROUBLE:
            replace_two(deployment)
            time.sleep(BETWEEN_SECONDS)
            configure(operator, 3)
            replace_two(deployment)
        else:
            configure(operator, 3)
        until = time.monotonic() + JUDGED_SECONDS
        if TROUBLE:
            time.sleep(BOUNDS["catch_up_s"] + BOUNDS["contact_s"])
        versions = set()
        while time.monotonic() < until:
            versions |= read_versions(deployment)
            if versions:
                break
            time.sleep(1.0)
        text = f"read back in {JUDGED_SECONDS:g} s: {sorted(versions)}; acknowledged: 3"
        record.write(f"judged: {text}")
        print(text)
        return HELD if versions == {"00000003"} else BROKEN
    finally:
        deployment.close()


def configure(operator: Operator, version: int) -> None:
    operator.configure(
        configuration(version, routes=[route("a", "s")], services=["s"], tenants=[])
    )


def replace_two(deployment: Deployment) -> None:
    """Remove the two oldest control hosts for good; empty ones come a second later."""
    lost = deployment.controls[:2]
    for host in lost:
        host.signal(signal.SIGKILL)
    time.sleep(SUCCESSOR_AFTER_SECONDS)
    for host in lost:
        deployment.replace(host)


def read_versions(deployment: Deployment) -> set[str]:
    """Ask each control host that runs for the configuration; return the versions."""
    versions = set()
    for host in deployment.controls:
        try:
            status, _, body = call(host.control, "GET", "/config", timeout=2)
        except (OSError, http.client.HTTPException) as error:
            deployment.record.write(f"operator: GET /config at {host.ip}: {error!r}")
            continue
        deployment.record.write(f"operator: GET /config at {host.ip}: {status}")
        if status == 200:
            versions.add(body.decode().split('"version": "')[1][:8])
    return versions


if __name__ == "__main__":
    run_case(FOLDER, case)
