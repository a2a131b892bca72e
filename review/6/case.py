"""Many changes of a long configuration, then one core machine loses its disk."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from installation_2 import (  # noqa: E402
    CannotRun,
    Installation,
    Operator,
    Record,
    play,
)

HOST = "shop.example"
KEY = "k3y9anu6wsjnbanfqasnmgk"
ROUTES = 2820  # 20, and twice the 1,400 by which `big_config` lets them grow
CHANGES = 220  # "a day may contain hundreds of changes"
CHANGE_SECONDS = 0.15
LAST_CHANGE_SECONDS = 80.0  # later, the case would last too long
DOWN_SECONDS = 1.0
READ_BACK_SECONDS = 30.0  # twice recovery_s
CONTACT_SECONDS = 4.0  # contact_s: at the end, it is read for so long at least
BOUNDS = {
    "ack_s": 5, "catch_up_s": 6, "drain_s": 3, "config_apply_s": 3, "cold_slack": 8,
    "budget_extra": 304,
}  # fmt: skip


def configuration(version: int) -> dict:
    routes = [
        {
            "name": f"r-{number:06x}", "host": f"h{number % 40}.example",
            "path_prefix": f"/p{number}/{number * 7919 % 9973:x}/", "kind": "safe",
            "timeout_s": 1.0 + version / 1000, "target_latency_s": 0.3, "priority": 1,
            "service": "s", "max_attempts": 2, "public": False, "sticky": False,
            "home_regions": [],
        }
        for number in range(ROUTES)
    ]  # fmt: skip
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {"name": "s", "health_path": "/health", "max_conns": 813, "protocol": "h1",
             "tls": False, "cold_start_s": 0.0, "cold_per_s": 10.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [
            {"name": "t1", "api_keys": [KEY], "priority": 1, "rate_per_s": 100,
             "burst": 100, "home_regions": []},
        ],
    }  # fmt: skip


async def case(record: Record, trouble: bool) -> bool:
    zones = {
        "north-a": "north", "south-a": "south", "west-a": "west", "north-b": "north",
        "south-b": "south", "west-b": "west",
    }  # fmt: skip
    installation = Installation(
        record,
        zones=zones,
        control_zones=list(zones),
        entry_zones=[],
        bounds=BOUNDS,
    )
    operator = Operator(installation)
    try:
        await installation.start_all()
        await asyncio.sleep(4.0)
        newest = 0
        for version in range(1, CHANGES + 1):
            if record.now > LAST_CHANGE_SECONDS:
                raise CannotRun("the changes take too long on this machine")
            began = time.monotonic()
            if await operator.put_configuration(configuration(version), within=10.0):
                newest = version
            else:
                record.write(f"OPERATOR version {version} isn't acknowledged")
            if version % 20 == 0:
                used = [f"{each.memory_mib():.0f}" for each in installation.controls]
                record.write(f"OPERATOR {version} sent, memory in MiB {used}")
            await asyncio.sleep(max(0.0, CHANGE_SECONDS + began - time.monotonic()))
        record.write(f"RESULT newest acknowledged version {newest}")
        files = [
            (installation.folder / f"data-{each.ip}" / "log").stat().st_size / 1e6
            for each in installation.controls
        ]
        record.write(f"RESULT log files in MB {[f'{size:.0f}' for size in files]}")
        if trouble:
            lost = installation.controls[-1]
            installation.kill(lost)
            record.write(f"PLATFORM {lost.name} loses its disk")
            await asyncio.sleep(DOWN_SECONDS)
            installation.wipe_and_start(lost)
            record.write(f"PLATFORM {lost.name} is back with an empty disk")
        until = record.now + READ_BACK_SECONDS
        read_back = []
        while record.now < until:
            await asyncio.sleep(1.0)
            answer = await operator.call("GET", "/config", within=1.5)
            last = json.loads(answer[1])["version"] if answer else None
            if last is not None and record.now > until - CONTACT_SECONDS:
                read_back.append(int(last, 16))
            used = [f"{each.memory_mib():.0f}" for each in installation.controls]
            record.write(f"OPERATOR reads version {last}; memory in MiB {used}")
        for each in installation.controls:
            record.write(
                f"RESULT {each.name} peak {each.peak_mib:.0f} ends {each.ends}"
            )
        record.write(f"RESULT read back at the end: {read_back}")
        return bool(read_back) and min(read_back) >= newest
    finally:
        installation.stop()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
