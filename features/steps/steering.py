"""Steps for traffic shifts, slots, draining targets and planned stops."""

from __future__ import annotations

import threading
import time

import urllib3
from behave import given, then, when

from chicoryhold.trial.caller import Caller, Response
from chicoryhold.trial.fleet import wait_until
from features.caller_hosts import caller_hosts
from features.support import (
    count_runs,
    flood,
    host_address,
    list_targets,
    new_caller,
)

SLOTS_PER_TARGET = 4  # the default of the simulated target's flag --slots


def start_threads(count, action):
    """Start ``count`` threads; each calls ``action`` with its number, from 0 on."""
    threads = [threading.Thread(target=action, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    return threads


def join_threads(threads):
    for thread in threads:
        thread.join()


def hosts_in(context, domain):
    return [host for host in caller_hosts(context) if host.startswith(f"{domain}-")]


def count_runs_in(context, domain):
    """Count the runs of this scenario's requests at the domain's running targets."""
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
def step_start_shift(context, service, source, destination, cap):
    name = f"shift-{context.marker}"
    started = context.fleet.run_cli(
        "shift",
        "start",
        name,
        service,
        source,
        destination,
        "--share=1",
        f"--cap={cap}",
    )
    context.add_cleanup(context.fleet.run_cli, "shift", "end", name)
    context.fleet.run_cli("wait", started["revision"])


@when(
    '"{name:Quoted}" sends "{request:Quoted}" to all hosts of "{domain:Quoted}" '
    "for {seconds:g} s"
)
def step_flood_domain(context, name, request, domain, seconds):
    method, path = request.split()
    hosts = hosts_in(context, domain)
    started = time.monotonic()
    join_threads(
        start_threads(
            len(hosts),
            lambda n: flood(context, name, method, path, hosts[n], seconds),
        )
    )
    context.flood_seconds = time.monotonic() - started


@then('at most {burst:d} plus {rate:d} a second ran in "{domain:Quoted}"')
def step_at_most_in_domain(context, burst, rate, domain):
    ran = count_runs_in(context, domain)
    assert ran <= burst + rate * context.flood_seconds, ran


@then('at least {count:d} ran in "{domain:Quoted}"')
def step_at_least_in_domain(context, count, domain):
    assert count_runs_in(context, domain) >= count


@then('none of them ran in "{domain:Quoted}"')
def step_none_in_domain(context, domain):
    statuses = [response.status for response in context.sequential_responses]
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
def step_send_at_once(context, name, count, request, seconds):
    hosts = [*hosts_in(context, "north-a"), *hosts_in(context, "south-a")]
    headers = {"Trial": f"slow {seconds}"}

    def send_request(number):
        host = hosts[number % len(hosts)]
        response = new_caller(context, name).send(
            "GET", f"/slots/1?m={context.marker}", host=host_address(context, host),
            headers=headers,
        )  # fmt: skip
        context.responses.append(response)

    join_threads(start_threads(count, send_request))


@then("no target had more requests at once than its slots")
def step_slots_not_exceeded(context):
    for target in list_targets(context):
        max_concurrent = context.fleet.seen(target)["most_at_once"]
        assert max_concurrent <= SLOTS_PER_TARGET, (target.name, max_concurrent)


@when(
    '"{name:Quoted}" fills the "{service:Quoted}" of "{domain:Quoted}" for '
    "{seconds:g} s"
)
def step_fill_slots(context, name, service, domain, seconds):
    hosts = hosts_in(context, domain)
    headers = {"Trial": f"slow {seconds}"}
    context.slot_threads = start_threads(
        SLOTS_PER_TARGET,
        lambda n: new_caller(context, name).send(
            "GET",
            f"/{service}/1",
            host=host_address(context, hosts[0]),
            headers=headers,
        ),
    )
    context.add_cleanup(join_threads, context.slot_threads)
    time.sleep(0.5)


@when(
    '"{name:Quoted}" sends {count:d} requests "{request:Quoted}" one by one '
    'to "{host:Quoted}"'
)
def step_send_one_by_one(context, name, count, request, host):
    caller = new_caller(context, name)
    # The suffix "one" distinguishes these requests from the scenario's other requests.
    context.sequential_responses = [
        caller.send(
            "GET", f"/slots/1?m={context.marker}one", host=host_address(context, host)
        )
        for _ in range(count)
    ]


@when('"{name:Quoted}" sends {count:d} different requests in turn for {seconds:g} s')
def step_send_different(context, name, count, seconds):
    caller = new_caller(context, name)
    context.paths_and_responses = []
    for number in range(count):
        path = f"/payments/{context.marker}-{number}"
        context.paths_and_responses.append((path, caller.send("POST", path)))
        time.sleep(seconds / count)


@when(
    '"{name:Quoted}" sends {count:d} different requests from {callers:d} callers '
    "at once"
)
def step_send_different_at_once(context, name, count, callers):
    context.paths_and_responses = []

    def send_requests(number):
        caller = new_caller(context, name)
        for turn in range(count // callers):
            path = f"/slots/{context.marker}-{number}-{turn}"
            context.paths_and_responses.append((path, caller.send("GET", path)))

    join_threads(start_threads(callers, send_requests))


@then("each got the answer to its own request")
def step_own_answers(context):
    for path, response in context.paths_and_responses:
        assert response.status == 200, (path, response.fields)
        assert response.fields["path"] == path, (path, response.fields)


@given('another target of "{service:Quoted}" in "{domain:Quoted}"')
def step_add_target(context, service, domain):
    context.added_target = context.fleet.add_target(
        domain=domain, service=service, options=("--linger=20",)
    )
    context.add_cleanup(remove_target, context)
    context.fleet.wait_target_listening(context.added_target)
    caller = Caller(known_host=host_address(context, hosts_in(context, domain)[0]))

    def has_requests() -> bool:
        caller.send("GET", f"/open-{service}/1")
        return bool(context.fleet.seen(context.added_target)["requests"])

    wait_until(has_requests, what="a request at the added target", timeout=15)


def remove_target(context):
    if context.added_target.running:
        context.added_target.kill()
    del context.fleet.members[context.added_target.name]


@when('"{name:Quoted}" keeps it and the others busy')
def step_keep_busy(context, name):
    context.load_stopped = threading.Event()

    def send_requests(number):
        caller = new_caller(context, name)
        host = hosts_in(context, "north-a")[number % 3]
        while not context.load_stopped.wait(0.01):
            context.responses.append(
                caller.send(
                    "GET",
                    f"/slots/1?m={context.marker}",
                    host=host_address(context, host),
                )
            )

    threads = start_threads(6, send_requests)
    time.sleep(0.5)

    def stop():
        context.load_stopped.set()
        join_threads(threads)

    context.stop_load = stop
    context.add_cleanup(stop)


@when("the other target is told to leave")
def step_terminate_target(context):
    context.added_target.terminate()
    context.terminated_at = time.monotonic()


@when("the other target says in its answers alone that it leaves")
def step_leave_by_answers(context):
    context.fleet.leave_by_answers(context.added_target)
    context.terminated_at = time.monotonic()


@when("the other target is killed")
def step_kill_target(context):
    context.added_target.kill()
    time.sleep(4)
    context.stop_load()


@then("it gets no new work after {seconds:g} s")
def step_no_new_work(context, seconds):
    time.sleep(max(0.0, context.terminated_at + seconds - time.monotonic()))
    before = count_runs_at_added_target(context)
    time.sleep(2)
    after = count_runs_at_added_target(context)
    context.stop_load()
    assert after == before, (before, after)


def count_runs_at_added_target(context):
    """Count the runs at the added target.

    Its flag ``--linger`` keeps it running for a while after it has drained.
    """
    assert context.added_target.running
    return len(context.fleet.seen(context.added_target)["requests"])


@when('an operator plans a stop of "{host:Quoted}"')
def step_plan_stop(context, host):
    context.fleet.run_cli("stop", "plan", host)
    context.add_cleanup(context.fleet.run_cli, "stop", "end", host)


@when('an operator ends the stop of "{host:Quoted}"')
def step_end_stop(context, host):
    context.fleet.run_cli("stop", "end", host)


def is_listed(context, host):
    caller = Caller(known_host=host_address(context, "north-a-1"))
    return host in [entry["name"] for entry in caller.look_up()["entry_hosts"]]


@then('the look-up no longer names "{host:Quoted}" within {seconds:g} s')
def step_not_listed(context, host, seconds):
    wait_until(
        lambda: not is_listed(context, host),
        what="removal from the look-up",
        timeout=seconds,
    )


@then('the look-up names "{host:Quoted}" within {seconds:g} s')
def step_listed(context, host, seconds):
    wait_until(
        lambda: is_listed(context, host), what="return to the look-up", timeout=seconds
    )


@then("the caller is told to close the connection")
def step_told_to_close(context):
    assert context.responses[-1].headers.get("Connection", "").lower() == "close"


@when(
    '{count:d} callers send "{name:Quoted}" requests that take {seconds:g} s '
    'to host "{host:Quoted}"'
)
def step_send_in_flight(context, count, name, seconds, host):
    def send_request(number):
        try:
            response = new_caller(context, name).send(
                "GET",
                f"/slots/1?m={context.marker}",
                host=host_address(context, host),
                headers={"Trial": f"slow {seconds}"},
            )
        except urllib3.exceptions.HTTPError as error:
            fields = {"connection error": str(error)}
            response = Response(status=0, headers={}, fields=fields, body=b"")
        context.responses.append(response)

    context.in_flight_threads = start_threads(count, send_request)
    wait_until(
        lambda: count_runs(context) >= 1, what="the run of a request", timeout=10
    )


@when('"{host:Quoted}" is told to stop')
def step_stop_host(context, host):
    context.fleet[host].terminate()
    join_threads(context.in_flight_threads)


@then('"{host:Quoted}" ends by itself within {seconds:g} s')
def step_exits(context, host, seconds):
    wait_until(
        lambda: not context.fleet[host].running,
        what="the exit of the host",
        timeout=seconds,
    )
