"""Steps that send requests as callers and check which of them targets executed."""

from __future__ import annotations

import http.client
import json
import threading
import time
from urllib.parse import quote

import urllib3
from behave import given, then, when

from chicoryhold.load.target_rules import check_crashes, check_limit
from chicoryhold.trial.caller import Caller, Response
from chicoryhold.trial.fleet import wait_until
from features.caller_hosts import caller_hosts, flood_hosts, run_at_once
from features.support import (
    FIRST_HOST,
    count_runs,
    executed_requests,
    host_address,
    list_targets,
    new_caller,
    send,
)


@given('organisation "{name:Quoted}" has a key')
def step_give_key(context, name):
    if name not in context.organisations:
        context.fleet.run_cli("organisation", "create", name)
        context.organisations.add(name)
    new_key = context.fleet.run_cli("key", "give", name)
    context.keys[name] = new_key["key"]
    context.key_ids = {**getattr(context, "key_ids", {}), name: new_key["key_id"]}
    context.fleet.run_cli("wait", new_key["revision"])


@given("a key that was never given")
def step_unknown_key(context):
    context.keys["nobody"] = f"chk_00000000_{'x' * 32}"


@when('"{name:Quoted}" sends "{request:Quoted}"')
def step_send(context, name, request):
    send(context, name, request)


@when('"{name:Quoted}" sends "{request:Quoted}" to host "{host:Quoted}"')
def step_send_to(context, name, request, host):
    send(context, name, request, host=host)


@when(
    '"{name:Quoted}" sends "{request:Quoted}" to a target that answers "{fault:Quoted}"'
)
def step_send_with_fault(context, name, request, fault):
    send(context, name, request, headers={"Trial": fault})


@when(
    '"{name:Quoted}" sends "{request:Quoted}" with header "{header:Quoted}: '
    '{value:Quoted}"'
)
def step_send_with_header(context, name, request, header, value):
    key = context.keys.get(name, "")
    # A caller with a key adds the header Chicoryhold-Key unless ``headers`` has it in
    # exactly this case. If the step gives the key itself, perhaps in another case, the
    # request is sent by a caller without a key, so that the key is not sent twice.
    sender = f"{name} without key" if value == "KEY" else name
    send(context, sender, request, headers={header: value.replace("KEY", key)})


@when('"{name:Quoted}" sends "{request:Quoted}" with its key in the "{place:Quoted}"')
def step_send_key_in_place(context, name, request, place):
    key = context.keys[name]
    encoded = "".join(f"%{byte:02x}" for byte in key.encode())
    arguments_by_place = {
        "query": {"request": f"{request}?key={key}"},
        "encoded query": {"request": f"{request}?key={encoded}"},
        "twice encoded query": {"request": f"{request}?key={quote(encoded)}"},
        "path": {"request": f"{request}/{key}"},
        "cookie": {"request": request, "headers": {"Cookie": f"a=b; key={key}"}},
        "other header": {"request": request, "headers": {"X-Api-Key": key.upper()}},
        "body": {
            "request": request.replace("GET", "POST"),
            "body": f"key={key}".encode(),
        },
    }
    send(context, name, **arguments_by_place[place])


@when('"{name:Quoted}" sends the path "{path:Quoted}" as it is')
def step_send_raw_path(context, name, path):
    """Send the path with ``http.client``, because urllib3 would normalise it."""
    connection = http.client.HTTPConnection(host_address(context, FIRST_HOST))
    connection.request("GET", f"{path}?m={context.marker}")
    http_response = connection.getresponse()
    fields = json.loads(http_response.read())
    connection.close()
    response = Response(
        status=http_response.status, headers={}, fields=fields, body=b""
    )
    context.responses.append(response)


@when('a caller sends the key of "{name:Quoted}" twice')
def step_two_keys(context, name):
    host = host_address(context, FIRST_HOST)
    key = context.keys[name]
    headers = urllib3.HTTPHeaderDict([("Chicoryhold-Key", key)] * 2)
    response = urllib3.request("GET", f"http://{host}/slots/1", headers=headers)
    context.last_status = response.status


@then("the key sent twice is refused")
def step_two_keys_refused(context):
    assert context.last_status == 400, context.last_status


@when('"{name:Quoted}" sends "{request:Quoted}" every 0.1 s until refused')
def step_send_until_refused(context, name, request):
    send_until_refused(context, name, request)


@then("it was refused within {seconds:g} s")
def step_refused_within(context, seconds):
    assert context.refused_after <= seconds, context.refused_after


@then("the answer is {status:d}")
def step_status(context, status):
    response = context.responses[-1]
    assert response.status == status, (response.status, response.fields)


@then('the target was told organisation "{name:Quoted}"')
def step_target_organisation(context, name):
    assert context.responses[-1].fields["organisation"] == name


@then('it is refused as "{kind:Quoted}" and "{ran:Quoted}"')
def step_refused(context, kind, ran):
    response = context.responses[-1]
    assert (response.refused, response.ran) == (kind, ran), (
        response.status,
        response.fields,
    )


@then("no target saw the request")
def step_no_run(context):
    assert count_runs(context) == 0


@then("the request ran once")
def step_ran_once(context):
    assert count_runs(context) == 1, count_runs(context)


@then("the request ran at most once")
def step_ran_at_most_once(context):
    assert count_runs(context) <= 1, count_runs(context)


@then("no target has ever seen a key of any organisation")
def step_no_key_seen(context):
    secrets = [key.rpartition("_")[2].lower() for key in context.keys.values()]
    for request in executed_requests(context):
        text = str(request).lower()
        assert not any(secret in text for secret in secrets), request


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


@then('every refusal was "{kind:Quoted}" and "{ran:Quoted}"')
def step_all_refusals(context, kind, ran):
    kinds = {(r.refused, r.ran) for r in context.responses if r.refused}
    assert kinds <= {(kind, ran)}, kinds


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


@when('"{name:Quoted}" pays with key "{text:Quoted}"')
def step_pay(context, name, text):
    pay(context, name, text)


@when('"{name:Quoted}" pays with key "{text:Quoted}" at host "{host:Quoted}"')
def step_pay_at(context, name, text, host):
    pay(context, name, text, host=host)


@when(
    '"{name:Quoted}" pays with key "{text:Quoted}" to a target that answers '
    '"{fault:Quoted}"'
)
def step_pay_fault(context, name, text, fault):
    pay(context, name, text, fault=fault)


@when('"{name:Quoted}" pays {amount:d} with key "{text:Quoted}"')
def step_pay_amount(context, name, amount, text):
    pay(context, name, text, amount=amount)


@when('"{name:Quoted}" pays with key "{text:Quoted}" at every host at the same moment')
def step_pay_at_every_host(context, name, text):
    # Look up the prefix before the threads start, so that all send the same key.
    idempotency_prefix(context)
    run_at_once(
        lambda host=host: pay(context, name, text, host=host)
        for host in caller_hosts(context)
    )


def idempotency_prefix(context) -> str:
    """Return the prefix for idempotency keys, which a caller gets from the look-up.

    It is looked up once per scenario.
    """
    prefixes = context.__dict__.setdefault("prefixes", {})
    if context.marker not in prefixes:
        caller = Caller(known_host=host_address(context, FIRST_HOST))
        prefixes[context.marker] = caller.look_up()["idempotency_prefix"]
    return prefixes[context.marker]


def pay(context, organisation, key_suffix, *, host=FIRST_HOST, fault="", amount="40"):
    """Send a payment with an idempotency key that belongs to this scenario."""
    headers = {
        "Idempotency-Key": f"{idempotency_prefix(context)}{context.marker}{key_suffix}"
    }
    if fault:
        headers["Trial"] = fault
    caller = new_caller(context, organisation)
    response = caller.send(
        "POST",
        f"/payments/1?m={context.marker}",
        host=host_address(context, host),
        headers=headers,
        body=f"ron {amount}".encode(),
        timeout=15.0,
    )
    context.responses.append(response)
    return response


@when(
    '"{name:Quoted}" starts paying with key "{text:Quoted}" at host '
    '"{host:Quoted}" and waits for "{fault:Quoted}"'
)
def step_pay_in_background(context, name, text, host, fault):
    def send_payment():
        try:
            pay(context, name, text, host=host, fault=fault)
        except urllib3.exceptions.HTTPError:
            # A later step kills the host, so that the response is lost.
            return

    context.payment_thread = threading.Thread(target=send_payment)
    context.payment_thread.start()
    wait_until(
        lambda: count_runs(context) == 1, what="the run of the payment", timeout=10
    )


@when('"{name:Quoted}" pays with the plain key "{text:Quoted}"')
def step_pay_without_prefix(context, name, text):
    caller = new_caller(context, name)
    response = caller.send(
        "POST",
        f"/payments/1?m={context.marker}",
        headers={"Idempotency-Key": text},
        body=b"ron 40",
    )
    context.responses.append(response)


@then("both answers are the same")
def step_same_answers(context):
    first, second = context.responses[-2:]
    assert (first.status, first.body) == (second.status, second.body)


@then("all answers of 200 are the same")
def step_same_successful_answers(context):
    bodies = {response.body for response in context.responses if response.status == 200}
    assert len(bodies) == 1, bodies


@when(
    '"{name:Quoted}" keeps sending "{request:Quoted}" to host "{host:Quoted}" '
    "until refused"
)
def step_send_to_host_until_refused(context, name, request, host):
    send_until_refused(context, name, request, host=host)


def send_until_refused(context, name, request, *, host=FIRST_HOST):
    """Repeat a request until it is refused, and note how long that took."""
    started = time.monotonic()
    wait_until(
        lambda: send(context, name, request, host=host).refused,
        what="a refusal",
        timeout=20,
    )
    context.refused_after = time.monotonic() - started


@when('"{name:Quoted}" keeps sending "{request:Quoted}" until answered')
def step_send_until_answered(context, name, request):
    wait_until(
        lambda: send(context, name, request).status == 200,
        what="a response with status 200",
        timeout=20,
    )


@when('"{name:Quoted}" sends "{request:Quoted}" to host "{host:Quoted}" as it wakes')
def step_send_as_it_wakes(context, name, request, host):
    """Send requests while the host is frozen: it reads them first when it resumes."""
    context.runs_before = count_runs(context)
    context.late_responses = []
    threads = [
        threading.Thread(
            target=lambda: context.late_responses.append(
                new_caller(context, name).send(
                    "GET",
                    f"/slots/1?m={context.marker}",
                    host=host_address(context, host),
                    timeout=20,
                )
            )
        )
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    context.fleet[host].resume()
    for thread in threads:
        thread.join()


@then("no answer was 200 and no target saw the later requests")
def step_late_requests_refused(context):
    statuses = [response.status for response in context.late_responses]
    assert len(statuses) == 8, statuses
    assert 200 not in statuses, statuses
    assert count_runs(context) == context.runs_before


@when(
    '"{name:Quoted}" sends "{request:Quoted}" from every host but the coordinator '
    "for {seconds:g} s"
)
def step_flood_other_hosts(context, name, request, seconds):
    others = [host for host in caller_hosts(context) if host != context.coordinator]
    flood_hosts(context, name, request, others, seconds)


@when('"{name:Quoted}" pays with key "{text:Quoted}" until refused')
def step_pay_until_refused(context, name, text):
    wait_until(lambda: pay(context, name, text).refused, what="a refusal", timeout=20)


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


@when('"{name:Quoted}" pays with key "{text:Quoted}" and its secret in the body')
def step_pay_with_key_in_body(context, name, text):
    pay(context, name, text, amount=context.keys[name])
