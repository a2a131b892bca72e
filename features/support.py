"""Helpers shared by the step modules."""

from __future__ import annotations

import time

from chicoryhold.trial.caller import Caller

FIRST_HOST = "north-a-1"


def host_address(context, host: str) -> str:
    """Return the address on which ``host`` serves callers."""
    return context.fleet[host].addresses["callers"]


def list_targets(context):
    members = context.fleet.members.values()
    return [member for member in members if "target" in member.addresses]


def executed_requests(context) -> list[dict]:
    """Return the requests that the running targets have executed."""
    return [
        request
        for target in list_targets(context)
        if target.running
        for request in context.fleet.seen(target)["requests"]
    ]


def count_runs(context) -> int:
    """Count how often the running targets executed this scenario's requests."""
    return sum(
        context.marker in request["path"] for request in executed_requests(context)
    )


def new_caller(context, organisation: str) -> Caller:
    """Return a caller that uses the organisation's key, or no key if it has none."""
    key = context.keys.get(organisation)
    return Caller(known_host=host_address(context, FIRST_HOST), key=key)


def send(context, organisation, request, *, host=FIRST_HOST, headers=None, body=None):
    """Send a request with the scenario's marker.

    The requests of an organisation within a scenario share one caller, and with it
    the open connections.
    """
    # behave doesn't remove entries of __dict__ at the end of a scenario, so the keys
    # contain the scenario's marker.
    callers = context.__dict__.setdefault("callers", {})
    caller = callers.setdefault((context.marker, organisation), None)
    if caller is None:
        caller = new_caller(context, organisation)
        callers[context.marker, organisation] = caller
    method, path = request.split()
    separator = "&" if "?" in path else "?"
    response = caller.send(
        method,
        f"{path}{separator}m={context.marker}",
        host=host_address(context, host),
        headers=headers,
        body=body,
        timeout=15.0,
    )
    context.responses.append(response)
    return response


def flood(context, organisation, method, path, host, seconds):
    """Send requests to ``host`` without a pause for ``seconds``."""
    caller = new_caller(context, organisation)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        response = caller.send(
            method,
            f"{path}?m={context.marker}",
            host=host_address(context, host),
        )
        context.responses.append(response)
