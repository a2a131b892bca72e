"""Steps about what targets must not get: deadly requests, and more than a limit."""

from __future__ import annotations

import time

from behave import then, when

from chicoryhold.load.target_rules import check_crashes, check_limit
from chicoryhold.trial.fleet import wait_until
from features.caller_hosts import caller_hosts
from features.support import (
    executed_requests,
    list_targets,
    send,
)


@when(
    '"{name:Quoted}" sends "{request:Quoted}" that crashes targets until every host '
    "refuses it"
)
def step_send_deadly(context, name, request):
    def send_to_all():
        context.last_round = [
            send(context, name, request, host=host, headers={"Trial": "crash 0.5"})
            for host in caller_hosts(context)
        ]
        return all(each.refused == "quarantined" for each in context.last_round)

    wait_until(send_to_all, what="a refusal by every host", timeout=30)
    for target in list_targets(context):
        context.fleet.wait_target_listening(target)


@then("it crashed at most {count:d} targets")
def step_crashed(context, count):
    result = check_crashes(deadly_runs(context), known_seconds=0.0)
    assert 3 <= result.crashes <= count, result


@then("no host sent it {seconds:d} s after the third crash")
def step_not_sent_again(context, seconds):
    result = check_crashes(deadly_runs(context), known_seconds=float(seconds))
    assert result.is_kept and not result.late_retries, result


@then('every refusal of the last round was "{kind:Quoted}" and "{ran:Quoted}"')
def step_last_round(context, kind, ran):
    kinds = {(each.refused, each.ran) for each in context.last_round}
    assert kinds == {(kind, ran)}, kinds


def deadly_runs(context):
    return [
        request["at"]
        for request in executed_requests(context)
        if context.marker in request["path"]
    ]


@when('every target of "{service:Quoted}" names a limit of {rate:d}')
def step_name_limit(context, service, rate):
    context.limit_named_at = time.monotonic()
    for target in targets_of(context, service):
        context.fleet.set_limit(target, str(rate))


@when('every target of "{service:Quoted}" names no limit')
def step_name_no_limit(context, service):
    for target in targets_of(context, service):
        context.fleet.set_limit(target, "")


@then(
    'no target of "{service:Quoted}" got more than a limit of {rate:d} allows, '
    "{seconds:d} s after it was named"
)
def step_limit_kept(context, service, rate, seconds):
    for target in targets_of(context, service):
        requests = context.fleet.seen(target)["requests"]
        since = context.limit_named_at + seconds
        result = check_limit((r["at"] for r in requests), rate=rate, since=since)
        assert result.is_kept, (target.name, result)


def targets_of(context, service):
    return [t for t in list_targets(context) if f"-{service}-" in t.name]


@when('every target of "{service:Quoted}" is killed')
def step_kill_targets(context, service):
    for target in list_targets(context):
        if f"-{service}-" in target.name:
            target.kill()
