"""Two of three control hosts are replaced, one after the other, and the group ends."""

from __future__ import annotations

import http.client
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
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
# Much longer than ``catch_up_s``: the next host is replaced in a calm installation.
BETWEEN_SECONDS = 18.0
JUDGED_SECONDS = 30.0


def case(record: Record) -> int:
    zones = dict.fromkeys(("north-a", "north-b", "north-c"), "north")
    deployment = Deployment(
        record, zones=zones, controls=list(zones), gateways=["north-a"], spares=3
    )
    try:
        deployment.start()
        operator = Operator(deployment)
        configure(operator, 1)
        deployment.wait_until_ready()
        for version in (2, 3):
            configure(operator, version)
            if TROUBLE:
                replace_oldest(deployment)
                time.sleep(BETWEEN_SECONDS)
        until = time.monotonic() + JUDGED_SECONDS
        versions: set[str] = set()
        while time.monotonic() < until and not versions:
            versions |= read_versions(deployment)
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


def replace_oldest(deployment: Deployment) -> None:
    """Remove a control host for good; an empty one comes a second later."""
    lost = deployment.controls[0]
    lost.signal(signal.SIGKILL)
    time.sleep(SUCCESSOR_AFTER_SECONDS)
    deployment.replace(lost)


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
