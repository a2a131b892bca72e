"""The demo: starts an installation on loopback, sends requests to it and stops it."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path

from chicoryhold.errors import ChicoryholdError
from chicoryhold.trial.caller import Caller
from chicoryhold.trial.fleet import Fleet, running_fleet, wait_until

DOMAINS = {"north-a": 2, "south-a": 2}
SERVICES = ("menus", "slots", "payments")
REQUESTS = 60
TABLE = """scope,name,field,value,unit
route,/menus,service,menus,
route,/menus,access,open,
route,/slots,service,slots,
route,/payments,service,payments,
route,/payments,repeatable,no,
service,menus,deadline,4,s
service,slots,deadline,4,s
service,payments,deadline,4,s
organisation,clinic,rate,200,requests/s
organisation,clinic,burst,200,requests
"""
START_TIMEOUT_SECONDS = 20.0
IN_FORCE_TIMEOUT_SECONDS = 8.0
WITHDRAWAL_TIMEOUT_SECONDS = 5.0


class _Steps:
    """Prints each step with its result and counts the failed ones."""

    def __init__(self) -> None:
        self._count = 0
        self.failed = 0

    def show(self, description: str, ok: bool, detail: object = "") -> None:
        self._count += 1
        self.failed += not ok
        status_label = "ok  " if ok else "FAIL"
        print(
            f"{self._count:2d} {status_label} {description} {detail}".rstrip(),
            flush=True,
        )


def main() -> int:
    """Run the demo and return the exit code."""
    steps = _Steps()
    with tempfile.TemporaryDirectory(prefix="chicoryhold-demo-") as folder:
        with running_fleet(Path(folder), DOMAINS) as fleet:
            _run(fleet, steps)
    steps.show("stopped all processes", True)
    return 1 if steps.failed else 0


def _run(fleet: Fleet, steps: _Steps) -> None:
    for domain in DOMAINS:
        for service in SERVICES:
            fleet.add_target(domain=domain, service=service)
    steps.show("started 3 control replicas, 4 entry hosts, 6 targets", True)
    key_id, key = _set_up(fleet, steps)
    known_host = fleet["north-a-1"].addresses["callers"]
    caller = Caller(known_host=known_host, key=key)
    _wait_for_targets(caller)
    lookup = caller.look_up()
    hosts = [host["address"] for host in lookup["entry_hosts"]]
    steps.show("looked up the entry hosts:", len(hosts) == 4, " ".join(hosts))
    open_response = Caller(known_host=hosts[0]).send("GET", "/menus/today")
    steps.show(
        "open route without a key:", open_response.status == 200, open_response.status
    )
    wrong_key_caller = Caller(known_host=hosts[0], key=f"chk_00000000_{'x' * 32}")
    response = wrong_key_caller.send("GET", "/slots/1")
    is_rejected = response.refused == "key_rejected" and response.ran == "not_run"
    steps.show("wrong key refused, not run:", is_rejected, response.refused)
    _send_requests(caller, hosts, steps)
    _send_payments(caller, hosts, lookup["idempotency_prefix"], steps)
    _withdraw_key(fleet, caller, hosts[0], key_id, steps)


def _set_up(fleet: Fleet, steps: _Steps) -> tuple[str, str]:
    fleet.run_cli("organisation", "create", "clinic")
    steps.show("created organisation clinic", True)
    key = fleet.run_cli("key", "give", "clinic")
    steps.show("gave a key:", True, key["key_id"])
    table = fleet.folder / "table.csv"
    table.write_text(TABLE)
    based_on = fleet.run_cli("table", "get")["revision"]
    put = fleet.run_cli("table", "put", table, f"--based_on={based_on}")
    steps.show("put the table, revision", put["accepted"], put["revision"])
    fleet.run_cli("wait", put["revision"], f"--timeout={IN_FORCE_TIMEOUT_SECONDS}")
    steps.show(f"in force in all domains within {IN_FORCE_TIMEOUT_SECONDS:g} s", True)
    for member in fleet.members.values():
        if "callers" in member.addresses:
            fleet.wait_ready(member)
    return key["key_id"], key["key"]


def _wait_for_targets(caller: Caller) -> None:
    def all_respond() -> bool:
        hosts = [host["address"] for host in caller.look_up()["entry_hosts"]]
        return all(
            caller.send("GET", f"/{service}/0", host=host).status == 200
            for service in SERVICES
            for host in hosts
        )

    wait_until(all_respond, what="first responses", timeout=START_TIMEOUT_SECONDS)


def _send_requests(caller: Caller, hosts: list[str], steps: _Steps) -> None:
    answered_count = _count_ok(
        lambda n: caller.send("GET", f"/slots/{n}", host=hosts[n % len(hosts)])
    )
    steps.show(f"answered {answered_count} of {REQUESTS}", answered_count == REQUESTS)


def _count_ok(send: Callable[[int], object]) -> int:
    return sum(send(number).status == 200 for number in range(REQUESTS))


def _send_payments(
    caller: Caller, hosts: list[str], prefix: str, steps: _Steps
) -> None:
    headers = {"Idempotency-Key": f"{prefix}invoice-17"}
    responses = [
        caller.send("POST", "/payments/17", host=host, body=b"ron 40", headers=headers)
        for host in hosts
    ]
    numbers = {response.fields.get("number") for response in responses}
    ran_once = len(numbers) == 1 and all(
        response.status == 200 for response in responses
    )
    steps.show("payment sent to 4 hosts ran once, same response from all", ran_once)


def _withdraw_key(
    fleet: Fleet, caller: Caller, host: str, key_id: str, steps: _Steps
) -> None:
    status_before = caller.send("GET", "/slots/1", host=host).status
    fleet.run_cli("key", "withdraw", key_id)
    response = wait_until(
        lambda: _refused_response(caller, host),
        what="refusal",
        timeout=WITHDRAWAL_TIMEOUT_SECONDS,
    )
    ok = status_before == 200 and response.refused == "key_rejected"
    steps.show("withdrawn key refused on the same connection:", ok, response.refused)


def _refused_response(caller: Caller, host: str) -> object:
    response = caller.send("GET", "/slots/1", host=host)
    return response if response.refused else None


if __name__ == "__main__":
    try:
        raise SystemExit(main())
    except ChicoryholdError as error:
        raise SystemExit(f"demo: {error}") from error
