"""Steps that stop and start processes, and steps of operators."""

from __future__ import annotations

import json
import shutil
import threading
import time

from behave import given, then, when

from chicoryhold.trial.fleet import wait_until


@when('"{name:Quoted}" is killed')
def step_kill(context, name):
    context.fleet[name].kill()


@when('"{name:Quoted}" is killed and started again')
def step_restart(context, name):
    context.fleet[name].kill()
    context.fleet[name].start()
    context.fleet.wait_ready(context.fleet[name])


@when('"{name:Quoted}" is frozen')
def step_freeze(context, name):
    context.fleet[name].suspend()


@when('"{name:Quoted}" is woken')
def step_resume(context, name):
    context.fleet[name].resume()


@when("{seconds:g} s pass")
def step_wait(context, seconds):
    time.sleep(seconds)


@when("every control replica is frozen")
def step_freeze_control(context):
    for name in control_replica_names(context):
        context.fleet[name].suspend()


@when("every control replica is woken")
def step_resume_control(context):
    for name in control_replica_names(context):
        context.fleet[name].resume()


def control_replica_names(context):
    members = context.fleet.members.values()
    return [member.name for member in members if "api" in member.addresses]


def control_leader(context) -> str:
    return context.fleet.run_cli("replicas")["leader"]["leader"]


@when("the control leader is killed")
def step_kill_leader(context):
    context.former_leader = control_leader(context)
    context.fleet[context.former_leader].kill()


@when("the control leader is frozen")
def step_freeze_leader(context):
    context.former_leader = control_leader(context)
    context.fleet[context.former_leader].suspend()


@when("the frozen leader is woken")
def step_resume_leader(context):
    context.fleet[context.former_leader].resume()


@when("the killed replica is started again")
def step_start_former_leader(context):
    context.fleet[context.former_leader].start()
    context.fleet.wait_ready(context.fleet[context.former_leader])


@when("the killed replica is started again with an empty disk")
def step_start_with_empty_disk(context):
    shutil.rmtree(context.folder / "data" / context.former_leader)
    step_start_former_leader(context)

    def is_voter() -> bool:
        status = context.fleet.run_cli("replicas")["leader"]
        voters = [identity.rpartition(".")[0] for identity in status["voters"]]
        return len(voters) == 3 and context.former_leader in voters

    wait_until(is_voter, what="the return of the replica as a voter", timeout=20)


@given('the coordinator of "{domain:Quoted}" is known')
def step_coordinator(context, domain):
    log_lines = {
        member.name: member.log.read_text().splitlines()
        for member in context.fleet.members.values()
        if member.name.startswith(domain) and "callers" in member.addresses
    }
    epoch_starts = [
        (line[:23], name)
        for name, lines in log_lines.items()
        for line in lines
        if "coordinator: epoch" in line
    ]
    # The coordinator is the host that was the last to log the start of an epoch. The
    # first 23 characters of a log line are its timestamp.
    context.coordinator = max(epoch_starts)[1]


@when("{seconds:g} s later the coordinator is killed")
def step_kill_coordinator_later(context, seconds):
    coordinator = context.fleet[context.coordinator]
    timer = threading.Timer(seconds, coordinator.kill)
    timer.start()


@when('an operator withdraws the key of "{name:Quoted}"')
def step_withdraw_key(context, name):
    context.fleet.run_cli("key", "withdraw", context.key_ids[name])


@when('an operator creates organisation "{name:Quoted}"')
def step_create_organisation(context, name):
    context.outcome = context.fleet.run_cli("organisation", "create", name)


@when('{count:d} changes are made under the name "{name:Quoted}"')
def step_many_changes(context, count, name):
    for index in range(count):
        context.outcome = put_organisation(context, f"{name}-{index}")


def put_organisation(context, name: str) -> dict:
    """Create an organisation over HTTP at the first control replica that accepts it."""
    settings = (context.folder / "chicoryhold.toml").read_text()
    token = settings.rpartition('token = "')[2].partition('"')[0]
    pool = context.fleet._pool
    headers = {"Authorization": f"Bearer {token}", "Chicoryhold-Request-Id": name}

    def try_each_replica():
        for control in control_replica_names(context):
            api = context.fleet[control].addresses["api"]
            response = pool.request(
                "PUT", f"http://{api}/v1/organisations/{name}", headers=headers
            )
            if response.status == 200:
                return json.loads(response.data)
        return None

    return wait_until(
        try_each_replica, what="the creation of the organisation", timeout=20
    )


@then('organisation "{name:Quoted}" exists')
def step_organisation_exists(context, name):
    names = context.fleet.run_cli("organisation", "list")["organisations"]
    assert name in names, names


@then('all {count:d} organisations named "{name:Quoted}" exist')
def step_organisations_exist(context, count, name):
    names = context.fleet.run_cli("organisation", "list")["organisations"]
    missing = [n for n in range(count) if f"{name}-{n}" not in names]
    assert not missing, missing


@then("the change is in force everywhere within {seconds:g} s")
def step_in_force(context, seconds):
    revision = context.outcome["revision"]
    context.fleet.run_cli("wait", revision, f"--timeout={seconds}")


@when(
    'two operators change "{first:Quoted}" and "{second:Quoted}" from the same revision'
)
def step_concurrent_changes(context, first, second):
    current = context.fleet.run_cli("table", "get")
    context.table_results = []
    threads = []
    for row in (first, second):
        path = context.folder / f"{context.marker}-{row.split(',')[1]}.csv"
        path.write_text(current["table"].rstrip("\n") + f"\n{row}\n")
        command = ("table", "put", path, f"--based_on={current['revision']}")
        threads.append(
            threading.Thread(
                target=lambda c=command: context.table_results.append(
                    context.fleet.run_cli_raw(*c)
                )
            )
        )
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("one is accepted and the other is shown the difference")
def step_one_accepted(context):
    accepted = [result for result in context.table_results if result.returncode == 0]
    refused = [result for result in context.table_results if result.returncode]
    assert len(accepted) == 1 and len(refused) == 1, context.table_results
    assert "was changed in revision" in refused[0].stderr, refused[0].stderr
    assert "+" in refused[0].stderr, refused[0].stderr


@when(
    'an operator creates organisation "{name:Quoted}" with request id '
    '"{request_id:Quoted}"'
)
def step_create_organisation_with_id(context, name, request_id):
    command = ("organisation", "create", name, f"--request_id={request_id}")
    context.create_commands = [*getattr(context, "create_commands", []), command]
    context.outcome = context.fleet.run_cli(*command, check=False)
    context.create_outcomes = [
        *getattr(context, "create_outcomes", []),
        context.outcome,
    ]


@then("both outcomes are the same and accepted")
def step_same_outcomes(context):
    first, second = context.create_outcomes[-2:]
    assert first == second, (first, second)
    assert first["accepted"], first


@then('host "{host:Quoted}" never goes below the revision')
def step_revision_kept(context, host):
    rows = context.fleet.run_cli("in-force")
    revisions = {row["domain"]: row["revision"] for row in rows["domains"]}
    domain = host.rpartition("-")[0]
    assert revisions[domain] >= context.outcome["revision"], rows


@when("every control replica is killed and started again")
def step_restart_control(context):
    for name in control_replica_names(context):
        context.fleet[name].kill()
    for name in control_replica_names(context):
        context.fleet[name].start()
    for name in control_replica_names(context):
        context.fleet.wait_ready(context.fleet[name])
