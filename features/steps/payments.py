"""Steps that send payments, which have an idempotency key."""

from __future__ import annotations

import threading

import urllib3
from behave import then, when

from chicoryhold.trial.caller import Caller
from chicoryhold.trial.fleet import wait_until
from features.caller_hosts import caller_hosts, run_at_once
from features.support import (
    FIRST_HOST,
    count_runs,
    host_address,
    new_caller,
)


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


@when('"{name:Quoted}" pays with key "{text:Quoted}" until refused')
def step_pay_until_refused(context, name, text):
    wait_until(lambda: pay(context, name, text).refused, what="a refusal", timeout=20)


@when('"{name:Quoted}" pays with key "{text:Quoted}" and its secret in the body')
def step_pay_with_key_in_body(context, name, text):
    pay(context, name, text, amount=context.keys[name])
