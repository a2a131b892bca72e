"""One small installation for all scenarios, mended after each of them."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path
from uuid import uuid4

import parse
from behave import register_type

from chicoryhold.trial.caller import Caller
from chicoryhold.trial.fleet import Fleet, wait_until

DOMAINS = {"north-a": 3, "south-a": 2}
SERVICES = ("menus", "slots", "payments")
TABLE = Path(__file__).parent / "table.csv"
MEND_TIMEOUT = 20.0


@parse.with_pattern(r'[^"]*')
def quoted(text: str) -> str:
    """A step argument up to its closing quote."""
    return text


register_type(Quoted=quoted)


def before_all(context):
    context.folder = Path(tempfile.mkdtemp(prefix="chicoryhold-features-"))
    context.fleet = Fleet(folder=context.folder, domains=DOMAINS)
    context.fleet.set_up()
    context.fleet.start()
    for domain in DOMAINS:
        for service in SERVICES:
            context.fleet.add_target(domain=domain, service=service)
    context.organisations = set()
    based_on = context.fleet.run_cli("table", "get")["revision"]
    put = context.fleet.run_cli("table", "put", TABLE, f"--based_on={based_on}")
    context.fleet.run_cli("wait", put["revision"])


def after_all(context):
    context.fleet.stop()
    shutil.rmtree(context.folder)


def before_scenario(context, scenario):
    context.marker = uuid4().hex
    context.keys = {}
    context.replies = []
    mend(context.fleet)


def after_step(context, step):
    """Show what the callers got, where a step fails that looks at something else."""
    if step.status == "failed":
        for reply in context.replies:
            print(f"reply: {reply.status} {reply.body[:200]}")


def mend(fleet: Fleet) -> None:
    """Wake and restart whatever a scenario broke, and wait until all serve."""
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
                    what=f"service {service} at {name}",
                    timeout=MEND_TIMEOUT,
                )
