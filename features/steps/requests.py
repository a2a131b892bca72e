"""Steps that send requests as callers and check which of them targets executed."""

from __future__ import annotations

import http.client
import json
import threading
import time
from urllib.parse import quote

import urllib3
from behave import given, then, when

from chicoryhold.trial.caller import Response
from chicoryhold.trial.fleet import wait_until
from features.support import (
    FIRST_HOST,
    count_runs,
    executed_requests,
    host_address,
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


@then('every refusal was "{kind:Quoted}" and "{ran:Quoted}"')
def step_all_refusals(context, kind, ran):
    kinds = {(r.refused, r.ran) for r in context.responses if r.refused}
    assert kinds <= {(kind, ran)}, kinds


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
