"""Two core machines are down for some seconds; meanwhile two others lose their disks.

One of the latter is the leader, as its own metrics say.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from installation_2 import (  # noqa: E402
    FAILURES,
    CannotRun,
    Connection,
    Installation,
    Operator,
    Process,
    Record,
    play,
)

DOWN_SECONDS = 8.0  # of the two whose disks are kept
BEFORE_LOSS_SECONDS = 5.0
RESTART_SECONDS = 1.0  # of the two that lose their disks
RECOVERY_SECONDS = 15.0  # recovery_s
READ_BACK_SECONDS = RECOVERY_SECONDS + 10.0
CONTACT_SECONDS = 4.0  # contact_s: at the end, it is read for so long at least
ZONES = {
    "north-a": "north", "south-a": "south", "west-a": "west", "north-b": "north",
    "south-b": "south", "west-b": "west",
}  # fmt: skip


def configuration(version: int) -> dict:
    return {
        "version": f"{version:08x}",
        "routes": [
            {
                "name": "r-read", "host": "shop.example", "path_prefix": "/a/",
                "kind": "safe", "timeout_s": 1.0 + version, "target_latency_s": 0.3,
                "priority": 1, "service": "s", "max_attempts": 2, "public": True,
                "sticky": False, "home_regions": [],
            },
        ],
        "services": [
            {"name": "s", "health_path": "/health", "max_conns": 813, "protocol": "h1",
             "tls": False, "cold_start_s": 0.0, "cold_per_s": 10.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [],
    }  # fmt: skip


async def leads(installation: Installation, process: Process) -> bool:
    connection = Connection(process.ip, installation.internal + 1)
    try:
        _, _, text = await connection.request(
            "GET", "/metrics", {"Host": process.ip, "Connection": "close"}, timeout=3.0
        )
    except FAILURES:
        return False
    finally:
        connection.close()
    lines = [line.split() for line in text.decode().splitlines()]
    return any(
        line[0].startswith("chicoryhold_control_leads") and float(line[1]) == 1
        for line in lines
        if len(line) == 2
    )


async def case(record: Record, trouble: bool) -> bool:
    installation = Installation(
        record, zones=ZONES, control_zones=list(ZONES), entry_zones=[]
    )
    operator = Operator(installation)
    down, up = installation.controls[4:6], installation.controls[:4]
    try:
        await installation.start_all()
        if not await operator.put_configuration(configuration(1), within=30):
            raise CannotRun("the first configuration isn't acknowledged")
        record.write("OPERATOR version 1 is acknowledged")
        await asyncio.sleep(10.0)
        if trouble:
            for each in down:
                installation.kill(each)
                record.write(f"PLATFORM {each.name} is down, its disk is kept")
        await asyncio.sleep(BEFORE_LOSS_SECONDS)
        if not await operator.put_configuration(configuration(2), within=10):
            raise CannotRun("the second configuration isn't acknowledged")
        record.write("OPERATOR version 2 is acknowledged")
        leading = [each for each in up if await leads(installation, each)]
        if len(leading) != 1:
            raise CannotRun(f"not one of the four leads: {leading}")
        await asyncio.sleep(1.0)
        wiped = [*leading, next(each for each in up if each not in leading)]
        if trouble:
            for each in wiped:
                installation.kill(each)
                record.write(f"PLATFORM {each.name} loses its disk")
            await asyncio.sleep(RESTART_SECONDS)
            for each in wiped:
                installation.wipe_and_start(each)
                record.write(f"PLATFORM {each.name} is back with an empty disk")
            await asyncio.sleep(
                DOWN_SECONDS - BEFORE_LOSS_SECONDS - RESTART_SECONDS - 1
            )
            for each in down:
                each.may_restart = True
                installation.start(each)
                record.write(f"PLATFORM {each.name} is back with its disk")
        until = record.now + READ_BACK_SECONDS
        read_back = []
        while record.now < until:
            await asyncio.sleep(1.0)
            answer = await operator.call("GET", "/config", within=1.5)
            read = json.loads(answer[1])["version"] if answer else None
            record.write(f"OPERATOR reads version {read}")
            if read is not None and record.now > until - CONTACT_SECONDS:
                read_back.append(int(read, 16))
        for each in installation.controls:
            record.write(f"RESULT {each.name} ended by itself: {each.ends}")
        record.write(f"RESULT read back at the end: {read_back}")
        return bool(read_back) and min(read_back) == 2
    finally:
        installation.stop()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
