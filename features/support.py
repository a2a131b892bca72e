"""What the steps of several files share."""

from __future__ import annotations

import time

from chicoryhold.trial.caller import Caller

FIRST_HOST = "north-a-1"


def address_of(context, host: str) -> str:
    return context.fleet[host].addresses["callers"]


def targets_of(context):
    members = context.fleet.members.values()
    return [member for member in members if "target" in member.addresses]


def seen(context) -> list[dict]:
    """Return every request that ran at a target that is up."""
    return [
        request
        for target in targets_of(context)
        if target.running
        for request in context.fleet.seen(target)["requests"]
    ]


def runs_of_marker(context) -> int:
    return sum(context.marker in request["path"] for request in seen(context))


def caller_of(context, organisation: str) -> Caller:
    key = context.keys.get(organisation)
    return Caller(known_host=address_of(context, FIRST_HOST), key=key)


def send(context, organisation, request, *, host=FIRST_HOST, headers=None, body=None):
    """Send a request that carries the scenario's marker, on a kept connection."""
    callers = context.__dict__.setdefault("callers", {})
    caller = callers.setdefault((context.marker, organisation), None)
    if caller is None:
        caller = caller_of(context, organisation)
        callers[context.marker, organisation] = caller
    method, path = request.split()
    joiner = "&" if "?" in path else "?"
    reply = caller.send(
        method,
        f"{path}{joiner}m={context.marker}",
        host=address_of(context, host),
        headers=headers,
        body=body,
        timeout=15.0,
    )
    context.replies.append(reply)
    return reply


def flood(context, name, method, path, host, seconds):
    caller = caller_of(context, name)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        reply = caller.send(
            method,
            f"{path}?m={context.marker}",
            host=address_of(context, host),
        )
        context.replies.append(reply)
