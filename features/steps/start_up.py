"""Steps for start-up errors, killed processes, and the load and report programs."""

from __future__ import annotations

import json
import subprocess
import threading
import time
from collections import Counter

import urllib3
from behave import then, when

from chicoryhold.trial.fleet import wait_until
from features.caller_hosts import caller_hosts
from features.support import host_address, new_caller

ENTRY_SETTINGS = """name = 'x'
domain = 'd'
callers_address = '127.0.0.1:7100'
metrics_address = '127.0.0.1:0'
announcement_token = 't'
caller_threads = 4
[transport]
address = '127.0.0.1:0'
key_folder = 'keys'
[replicas]
control-1 = '127.0.0.1:1'
[domains.d]
region = 'r'
hosts = {x = '127.0.0.1:2'}
callers = {x = '127.0.0.1:3'}
[log]
level = 'INFO'
"""


def run_until_exit(context, program, text):
    """Run a program that is expected to exit during start-up."""
    path = context.folder / f"{context.marker}.toml"
    path.write_text(text)
    bin_folder = context.fleet["control-1"].command[0].rpartition("/")[0]
    command = [f"{bin_folder}/{program}", f"--settings={path}"]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, timeout=30
    )


@when('an entry host is started with "{old:Quoted}" changed to "{new:Quoted}"')
def step_start_entry(context, old, new):
    assert old in ENTRY_SETTINGS
    run_until_exit(context, "chicoryhold-entry", ENTRY_SETTINGS.replace(old, new))


@when('a control replica is started with heartbeat "{value:Quoted}"')
def step_start_control(context, value):
    text = (context.folder / "control-1.toml").read_text()
    run_until_exit(context, "chicoryhold-control", f'heartbeat = "{value}"\n{text}')


@when("a control replica is started on an address that is in use")
def step_start_in_use(context):
    text = (context.folder / "control-1.toml").read_text()
    # With a separate folder the process doesn't open the running replica's data.
    unused_folder = context.folder / "data" / "unused"
    run_until_exit(
        context,
        "chicoryhold-control",
        text.replace(str(context.folder / "data" / "control-1"), str(unused_folder)),
    )


@then('it ends with one line that has "{key:Quoted}" and "{remedy:Quoted}"')
def step_one_line_error(context, key, remedy):
    lines = context.completed.stderr.splitlines()
    assert context.completed.returncode != 0
    assert len(lines) == 1, lines
    assert key in lines[0] and remedy in lines[0], lines[0]


@when('"{name:Quoted}" keeps every other host busy while "{victim:Quoted}" is killed')
def step_send_while_killed(context, name, victim):
    stopped = threading.Event()
    hosts = [host for host in caller_hosts(context) if host != victim]

    def send_requests(host):
        caller = new_caller(context, name)
        while not stopped.wait(0.02):
            caller.send("GET", "/slots/1", host=host_address(context, host))

    threads = [threading.Thread(target=send_requests, args=(host,)) for host in hosts]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    context.fleet[victim].kill()
    time.sleep(1)
    stopped.set()
    for thread in threads:
        thread.join()


@then('the change is in force everywhere but at "{name:Quoted}"')
def step_in_force_elsewhere(context, name):
    revision = context.outcome["revision"]

    def in_force_elsewhere() -> bool:
        rows = context.fleet.run_cli("in-force")["domains"]
        return all(row["revision"] >= revision for row in rows) or all(
            row["revision"] >= revision or row["silent"] == [name] for row in rows
        )

    wait_until(in_force_elsewhere, what="the activation of the change", timeout=8)


@when('"{name:Quoted}" is started')
def step_start_process(context, name):
    context.fleet[name].start()


@then('"{name:Quoted}" is answered at "{host:Quoted}" within {seconds:g} s')
def step_answered_at(context, name, host, seconds):
    caller = new_caller(context, name)
    outcomes = []

    def is_answered() -> bool:
        try:
            response = caller.send("GET", "/slots/1", host=host_address(context, host))
        except urllib3.exceptions.HTTPError as error:
            outcomes.append(repr(error))
            return False
        outcomes.append(f"{response.status} {response.body}")
        return response.status == 200

    try:
        wait_until(is_answered, what="a response with status 200", timeout=seconds)
    except Exception:
        print(f"outcomes at {host}: {Counter(outcomes).most_common(5)}")
        raise


def run_program(context, program, *arguments):
    bin_folder = context.fleet["control-1"].command[0].rpartition("/")[0]
    command = [f"{bin_folder}/{program}", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    return result.stdout


def record_metrics(context):
    """Append a sample of every entry host's metrics to the scenario's samples file."""
    hosts = [context.fleet[host].addresses["metrics"] for host in caller_hosts(context)]
    context.samples_file = context.folder / f"{context.marker}.jsonl"
    run_program(
        context,
        "chicoryhold-report",
        "record",
        f"--hosts={','.join(hosts)}",
        f"--file={context.samples_file}",
    )


@when(
    '{rate:d} requests a second of "{name:Quoted}" to "{path:Quoted}" are sent '
    "for {seconds:d} s by experiment"
)
def step_run_experiment(context, rate, name, path, seconds):
    record_metrics(context)
    experiment_file = context.folder / f"{context.marker}.toml"
    experiment_file.write_text(
        f'seed = 1\nseconds = {seconds}\nscale = "trial"\n'
        f'known_host = "{host_address(context, "north-a-1")}"\n'
        f'[[traffic]]\norganisation = "{name}"\nkey = "{context.keys[name]}"\n'
        f'path = "{path}"\nrate = {rate}\n'
    )
    output = run_program(
        context, "chicoryhold-load", f"--experiment={experiment_file}", "--json"
    )
    context.results = json.loads(output)["results"]
    record_metrics(context)


@then("the experiment answered every request")
def step_experiment_answered(context):
    (result,) = context.results
    assert result["sent"] > 100, result
    assert result["answered"] == result["sent"], result
    assert 0 < result["latency_ms"]["p50"] <= result["latency_ms"]["p99"], result


@then('the report counts them for "{service:Quoted}" and "{name:Quoted}"')
def step_report(context, service, name):
    output = run_program(
        context,
        "chicoryhold-report",
        "show",
        f"--file={context.samples_file}",
        "--json",
    )
    rows = json.loads(output)["rows"]
    (row,) = [r for r in rows if (r["service"], r["organisation"]) == (service, name)]
    assert row["requests"] >= context.results[0]["sent"], row
    table = run_program(
        context, "chicoryhold-report", "show", f"--file={context.samples_file}"
    )
    assert "worst-served organisation" in table
