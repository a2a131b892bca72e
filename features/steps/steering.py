"""Steps of shifts, slots, leaving targets and planned stops."""

from __future__ import annotations

import threading
import time

import urllib3
from behave import given, then, when

from chicoryhold.trial.caller import Caller, Reply
from chicoryhold.trial.fleet import wait_until
from features.support import (
    count_runs,
    flood,
    host_address,
    list_targets,
    new_caller,
)

SLOTS = 4


def in_threads(count, action):
    threads = [threading.Thread(target=action, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    return threads


def join_all(threads):
    for thread in threads:
        thread.join()


def hosts_of(context, domain):
    members = context.fleet.members.values()
    return [
        member.name
        for member in members
        if "callers" in member.addresses and member.name.startswith(f"{domain}-")
    ]


def ran_in(context, domain):
    return sum(
        context.marker in request["path"]
        for target in list_targets(context)
        if target.name.startswith(f"{domain}-") and target.running
        for request in context.fleet.seen(target)["requests"]
    )


@when(
    'an operator shifts all "{service:Quoted}" from "{source:Quoted}" '
    'to "{destination:Quoted}" under {cap:d} a second'
)
def step_shift(context, service, source, destination, cap):
    name = f"shift-{context.marker}"
    started = context.fleet.operate(
        "shift",
        "start",
        name,
        service,
        source,
        destination,
        "--share=1",
        f"--cap={cap}",
    )
    context.add_cleanup(context.fleet.operate, "shift", "end", name)
    context.fleet.operate("wait", started["revision"])


@when(
    '"{name:Quoted}" sends "{request:Quoted}" to all hosts of "{domain:Quoted}" '
    "for {seconds:g} s"
)
def step_flood_domain(context, name, request, domain, seconds):
    method, path = request.split()
    hosts = hosts_of(context, domain)
    started = time.monotonic()
    join_all(
        in_threads(
            len(hosts),
            lambda n: flood(context, name, method, path, hosts[n], seconds),
        )
    )
    context.flood_seconds = time.monotonic() - started


@then('at most {burst:d} plus {rate:d} a second ran in "{domain:Quoted}"')
def step_most_in_domain(context, burst, rate, domain):
    ran = ran_in(context, domain)
    assert ran <= burst + rate * context.flood_seconds, ran


@then('at least {count:d} ran in "{domain:Quoted}"')
def step_least_in_domain(context, count, domain):
    assert ran_in(context, domain) >= count


@then('none of them ran in "{domain:Quoted}"')
def step_none_in_domain(context, domain):
    statuses = [reply.status for reply in context.one_by_one]
    assert set(statuses) == {200}, statuses
    ran = sum(
        f"{context.marker}one" in request["path"]
        for target in list_targets(context)
        if target.name.startswith(f"{domain}-")
        for request in context.fleet.seen(target)["requests"]
    )
    assert ran == 0, ran


@when(
    '"{name:Quoted}" sends {count:d} requests "{request:Quoted}" at once to targets '
    "that take {seconds:g} s"
)
def step_at_once(context, name, count, request, seconds):
    hosts = [*hosts_of(context, "north-a"), *hosts_of(context, "south-a")]
    headers = {"Trial": f"slow {seconds}"}

    def run(number):
        host = hosts[number % len(hosts)]
        reply = new_caller(context, name).send(
            "GET", f"/slots/1?m={context.marker}", host=host_address(context, host),
            headers=headers,
        )  # fmt: skip
        context.replies.append(reply)

    join_all(in_threads(count, run))


@then("no target had more requests at once than its slots")
def step_slots(context):
    for target in list_targets(context):
        most = context.fleet.seen(target)["most_at_once"]
        assert most <= SLOTS, (target.name, most)


@when(
    '"{name:Quoted}" fills the "{service:Quoted}" of "{domain:Quoted}" for '
    "{seconds:g} s"
)
def step_fill(context, name, service, domain, seconds):
    hosts = hosts_of(context, domain)
    headers = {"Trial": f"slow {seconds}"}
    context.filling = in_threads(
        SLOTS,
        lambda n: new_caller(context, name).send(
            "GET",
            f"/{service}/1",
            host=host_address(context, hosts[0]),
            headers=headers,
        ),
    )
    context.add_cleanup(join_all, context.filling)
    time.sleep(0.5)


@when(
    '"{name:Quoted}" sends {count:d} requests "{request:Quoted}" one by one '
    'to "{host:Quoted}"'
)
def step_one_by_one(context, name, count, request, host):
    caller = new_caller(context, name)
    context.one_by_one = [
        caller.send(
            "GET", f"/slots/1?m={context.marker}one", host=host_address(context, host)
        )
        for _ in range(count)
    ]


@when('"{name:Quoted}" sends {count:d} different requests in turn for {seconds:g} s')
def step_different(context, name, count, seconds):
    caller = new_caller(context, name)
    context.pairs = []
    for number in range(count):
        path = f"/payments/{context.marker}-{number}"
        context.pairs.append((path, caller.send("POST", path)))
        time.sleep(seconds / count)


@when(
    '"{name:Quoted}" sends {count:d} different requests from {callers:d} callers '
    "at once"
)
def step_different_at_once(context, name, count, callers):
    context.pairs = []

    def run(number):
        caller = new_caller(context, name)
        for turn in range(count // callers):
            path = f"/slots/{context.marker}-{number}-{turn}"
            context.pairs.append((path, caller.send("GET", path)))

    join_all(in_threads(callers, run))


@then("each got the answer to its own request")
def step_own_answers(context):
    for path, reply in context.pairs:
        assert reply.status == 200, (path, reply.fields)
        assert reply.fields["path"] == path, (path, reply.fields)


@given('another target of "{service:Quoted}" in "{domain:Quoted}"')
def step_another_target(context, service, domain):
    context.other = context.fleet.add_target(
        domain=domain, service=service, options=("--linger=20",)
    )
    context.add_cleanup(remove_target, context)
    context.fleet.wait_target(context.other)
    caller = Caller(known_host=host_address(context, hosts_of(context, domain)[0]))

    def has_work() -> bool:
        caller.send("GET", f"/open-{service}/1")
        return bool(context.fleet.seen(context.other)["requests"])

    wait_until(has_work, what="work at the new target", timeout=15)


def remove_target(context):
    if context.other.running:
        context.other.kill()
    del context.fleet.members[context.other.name]


@when('"{name:Quoted}" keeps it and the others busy')
def step_busy(context, name):
    context.busy = threading.Event()

    def run(number):
        caller = new_caller(context, name)
        host = hosts_of(context, "north-a")[number % 3]
        while not context.busy.wait(0.01):
            context.replies.append(
                caller.send(
                    "GET",
                    f"/slots/1?m={context.marker}",
                    host=host_address(context, host),
                )
            )

    threads = in_threads(6, run)
    time.sleep(0.5)

    def stop():
        context.busy.set()
        join_all(threads)

    context.stop_busy = stop
    context.add_cleanup(stop)


@when("the other target is told to leave")
def step_leave(context):
    context.other.terminate()
    context.left_at = time.monotonic()


@when("the other target is killed")
def step_kill_other(context):
    context.other.kill()
    time.sleep(4)
    context.stop_busy()


@then("it gets no new work after {seconds:g} s")
def step_no_new_work(context, seconds):
    time.sleep(max(0.0, context.left_at + seconds - time.monotonic()))
    before = count_at_other(context)
    time.sleep(2)
    after = count_at_other(context)
    context.stop_busy()
    assert after == before, (before, after)


def count_at_other(context):
    """Count what ran at the other target, which stays up after it has drained."""
    assert context.other.running
    return len(context.fleet.seen(context.other)["requests"])


@when('an operator plans a stop of "{host:Quoted}"')
def step_plan_stop(context, host):
    context.fleet.operate("stop", "plan", host)
    context.add_cleanup(context.fleet.operate, "stop", "end", host)


@when('an operator ends the stop of "{host:Quoted}"')
def step_end_stop(context, host):
    context.fleet.operate("stop", "end", host)


def named(context, host):
    caller = Caller(known_host=host_address(context, "north-a-1"))
    return host in [entry["name"] for entry in caller.look_up()["entry_hosts"]]


@then('the look-up no longer names "{host:Quoted}" within {seconds:g} s')
def step_not_named(context, host, seconds):
    wait_until(lambda: not named(context, host), what="removal", timeout=seconds)


@then('the look-up names "{host:Quoted}" within {seconds:g} s')
def step_named(context, host, seconds):
    wait_until(lambda: named(context, host), what="return", timeout=seconds)


@then("the caller is told to close the connection")
def step_told_to_close(context):
    assert context.replies[-1].headers.get("Connection", "").lower() == "close"


@when(
    '{count:d} callers send "{name:Quoted}" requests that take {seconds:g} s '
    'to host "{host:Quoted}"'
)
def step_in_flight(context, count, name, seconds, host):
    def run(number):
        try:
            reply = new_caller(context, name).send(
                "GET",
                f"/slots/1?m={context.marker}",
                host=host_address(context, host),
                headers={"Trial": f"slow {seconds}"},
            )
        except urllib3.exceptions.HTTPError as error:
            fields = {"cut off": str(error)}
            reply = Reply(status=0, headers={}, fields=fields, body=b"")
        context.replies.append(reply)

    context.in_flight = in_threads(count, run)
    wait_until(lambda: count_runs(context) >= 1, what="work", timeout=10)


@when('"{host:Quoted}" is told to stop')
def step_stop_host(context, host):
    context.fleet[host].terminate()
    join_all(context.in_flight)


@then('"{host:Quoted}" ends by itself within {seconds:g} s')
def step_ends(context, host, seconds):
    wait_until(lambda: not context.fleet[host].running, what="the end", timeout=seconds)
