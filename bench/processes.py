"""Measures CPU time, memory and latency of running processes.

Covers idle processes, look-ups of entry hosts and keyed requests; requests sent
straight to a target show the latency without an entry host. Run it with
``make processes`` on an otherwise idle machine.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.measuring import Row, print_rows
from bench.simulation import percentile
from chicoryhold.trial.caller import Caller
from chicoryhold.trial.fleet import Fleet, Member, running_fleet, wait_until

DOMAINS = {"north-a": 3, "south-a": 3}
TABLE = """scope,name,field,value,unit
route,/open,service,menus,
route,/open,access,open,
route,/menus,service,menus,
organisation,clinic,rate,100000,requests/s
organisation,clinic,burst,100000,requests
"""
IDLE_SECONDS = 15.0
REQUESTS = 1500
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(member: Member) -> float:
    """Return the user and system CPU time that a process has used."""
    fields = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_SECOND


def resident_megabytes(member: Member) -> float:
    """Return the resident set size of a process."""
    status = Path(f"/proc/{member.process.pid}/status").read_text()
    rss_line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(rss_line.split()[1]) / 1024


def measure_idle(fleet: Fleet) -> list[Row]:
    """Measure CPU use and memory of the control replicas and entry hosts."""
    members = [m for m in fleet.members.values() if "metrics" in m.addresses]
    before = {member.name: cpu_seconds(member) for member in members}
    time.sleep(IDLE_SECONDS)
    rows = []
    for member in members:
        cpu_used = cpu_seconds(member) - before[member.name]
        cpu_percent = 100 * cpu_used / IDLE_SECONDS
        megabytes = resident_megabytes(member)
        rows.append(
            Row(
                quantity=f"{member.name} idle",
                size="-",
                value=cpu_percent,
                unit="% of a core",
            )
        )
        rows.append(
            Row(quantity=f"{member.name} idle", size="-", value=megabytes, unit="MB")
        )
    return rows


def measure_calls(label: str, member: Member, call: Callable[[], object]) -> list[Row]:
    """Measure the latency of sequential calls and the CPU time they use in ``member``.

    The first 100 calls are a warm-up and not measured.
    """
    for _ in range(100):
        call()
    before = cpu_seconds(member)
    latencies = []
    for _ in range(REQUESTS):
        started = time.perf_counter()
        call()
        latencies.append(time.perf_counter() - started)
    cpu_per_call = (cpu_seconds(member) - before) / REQUESTS
    size = f"{REQUESTS} in turn"
    rows = [
        Row(
            quantity=f"{label}, p50",
            size=size,
            value=percentile(latencies, 0.5) * 1e3,
            unit="ms",
        ),
        Row(
            quantity=f"{label}, p99",
            size=size,
            value=percentile(latencies, 0.99) * 1e3,
            unit="ms",
        ),
    ]
    if cpu_per_call:
        rows.append(
            Row(
                quantity=f"{label}, at {member.name}",
                size=size,
                value=1 / cpu_per_call,
                unit="per s and core",
            )
        )
    return rows


def main() -> None:
    """Start a fleet, measure it and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        with running_fleet(Path(folder), DOMAINS) as fleet:
            measure_fleet(fleet)


def measure_fleet(fleet: Fleet) -> None:
    targets = [
        fleet.add_target(domain=domain, service="menus", options=("--slots=8",))
        for domain in DOMAINS
    ]
    table = fleet.folder / "table.csv"
    table.write_text(TABLE)
    fleet.run_cli("organisation", "create", "clinic")
    key = fleet.run_cli("key", "give", "clinic")["key"]
    based_on = fleet.run_cli("table", "get")["revision"]
    put = fleet.run_cli("table", "put", table, f"--based_on={based_on}")
    fleet.run_cli("wait", put["revision"])
    host = fleet["north-a-3"]
    caller = Caller(known_host=host.addresses["callers"], key=key)
    wait_until(
        lambda: caller.send("GET", "/open/1").status == 200, what="service", timeout=20
    )
    print_rows("Processes", measure_idle(fleet))
    direct = Caller(known_host=targets[0].addresses["target"])
    rows = measure_calls(
        "target alone", targets[0], lambda: direct.send("GET", "/menus/1")
    )
    rows += measure_calls("look-up", host, caller.look_up)
    rows += measure_calls("keyed request", host, lambda: caller.send("GET", "/menus/1"))
    print_rows("Requests", rows)


if __name__ == "__main__":
    main()
