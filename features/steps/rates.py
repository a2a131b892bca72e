"""Steps that send many requests, and check how many of them ran or were answered."""

from __future__ import annotations

import time

from behave import then, when

from features.caller_hosts import caller_hosts, flood_hosts
from features.support import (
    count_runs,
    host_address,
    new_caller,
)


@when('"{name:Quoted}" sends "{request:Quoted}" from every host for {seconds:g} s')
def step_flood(context, name, request, seconds):
    flood_hosts(context, name, request, caller_hosts(context), seconds)


@then("at most {burst:d} plus {rate:d} a second ran")
def step_at_most_rate(context, burst, rate):
    allowed = burst + rate * context.flood_seconds
    ran = count_runs(context)
    assert ran <= allowed, (ran, allowed)


@then("at least {share:d} percent of {rate:d} a second ran")
def step_at_least_rate(context, share, rate):
    wanted = share / 100 * rate * context.flood_seconds
    ran = count_runs(context)
    assert ran >= wanted, (ran, wanted)


@when(
    '"{name:Quoted}" sends {count:d} requests "{request:Quoted}" evenly in '
    '{seconds:g} s to "{host:Quoted}"'
)
def step_send_evenly(context, name, count, request, seconds, host):
    method, path = request.split()
    caller = new_caller(context, name)
    started = time.monotonic()
    for number in range(count):
        due = started + seconds * number / count
        time.sleep(max(0.0, due - time.monotonic()))
        response = caller.send(
            method, f"{path}?m={context.marker}", host=host_address(context, host)
        )
        context.responses.append(response)


@then("every request was answered")
def step_all_answered(context):
    refused = [
        response.fields for response in context.responses if response.status != 200
    ]
    assert not refused, refused


@when(
    '"{name:Quoted}" sends "{request:Quoted}" from every host but the coordinator '
    "for {seconds:g} s"
)
def step_flood_other_hosts(context, name, request, seconds):
    others = [host for host in caller_hosts(context) if host != context.coordinator]
    flood_hosts(context, name, request, others, seconds)
