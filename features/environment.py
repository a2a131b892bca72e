"""Runs one small installation for all scenarios and repairs it before each."""

from __future__ import annotations

import shutil
import tempfile
from datetime import datetime
from pathlib import Path
from uuid import uuid4

import parse
from behave import register_type
from behave.model_core import Status

from chicoryhold.trial.caller import Caller
from chicoryhold.trial.fleet import Fleet, FleetError, wait_until
from features.kept_logs import keep_logs

HOSTS_PER_DOMAIN = {"north-a": 3, "south-a": 2}
SERVICES = ("menus", "slots", "payments")
TABLE_PATH = Path(__file__).parent / "table.csv"
RECOVERY_TIMEOUT_SECONDS = 20.0


@parse.with_pattern(r'[^"]*')
def quoted(text: str) -> str:
    """Parse a step argument, the text between two double quotes."""
    return text


register_type(Quoted=quoted)


def before_all(context):
    context.folder = Path(tempfile.mkdtemp(prefix="chicoryhold-features-"))
    context.fleet = Fleet(folder=context.folder, domains=HOSTS_PER_DOMAIN)
    context.fleet.set_up()
    context.fleet.start()
    for domain in HOSTS_PER_DOMAIN:
        for service in SERVICES:
            context.fleet.add_target(domain=domain, service=service)
    context.organisations = set()
    based_on = context.fleet.run_cli("table", "get")["revision"]
    put = context.fleet.run_cli("table", "put", TABLE_PATH, f"--based_on={based_on}")
    context.fleet.run_cli("wait", put["revision"])


def after_all(context):
    context.fleet.stop()
    shutil.rmtree(context.folder)


def before_scenario(context, scenario):
    # Targets list the requests of all scenarios. A request that a step counts has the
    # marker in its path, so that those of earlier scenarios are left out.
    context.marker = uuid4().hex
    context.keys = {}
    context.responses = []
    try:
        restore_processes(context.fleet)
    except FleetError as error:
        print_kept_logs(context, failure=str(error))
        raise


def after_step(context, step):
    """If the step failed, print the responses: its message may not contain them."""
    if step.status not in (Status.failed, Status.error):
        return
    for response in context.responses:
        print(f"response: {response.status} {response.body[:200]}")
    print_kept_logs(context, failure=f"{step.name}: {step.exception}")


def print_kept_logs(context, *, failure: str) -> None:
    folder = keep_logs(
        context.fleet,
        scenario=context.scenario.name,
        failure=f"{datetime.now().isoformat()} {failure}",
    )
    print(f"logs: {folder}")


def restore_processes(fleet: Fleet) -> None:
    """Resume or restart all processes and wait until every host serves each service."""
    for member in fleet.members.values():
        if member.running:
            member.resume()
        else:
            member.start()
    for member in fleet.members.values():
        if "metrics" in member.addresses:
            fleet.wait_ready(member)
    for name, member in fleet.members.items():
        if "callers" in member.addresses:
            caller = Caller(known_host=member.addresses["callers"])
            for service in SERVICES:
                wait_until(
                    lambda c=caller, s=service: (
                        c.send("GET", f"/open-{s}/0").status == 200
                    ),
                    what=f"a response with status 200 from service {service} at {name}",
                    timeout=RECOVERY_TIMEOUT_SECONDS,
                )
