"""Hosts of this build beside hosts of the build in production, and its data on disk."""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import attrs
import pytest

from bench.stops.hosts import free_ports
from tests.control_process import CONFIGURATION, ROOT
from tests.message_samples import all_kinds, encoded_samples, readable_kinds

PRODUCTION = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]
OLD_MESSAGES = ROOT / "tests" / "data" / f"messages_{PRODUCTION}.json"
# Hosts of the build in production drop these kinds. Each is sent without waiting for a
# reply, or only to a host whose request shows that it is of this build.
NEW_KINDS: set[str] = set()
# These are only sent inside messages of other kinds, in fields that are ignored, or
# inside those of new kinds.
NEW_NESTED_KINDS: set[str] = set()
START_TIMEOUT_SECONDS = 20.0
CONTROL_IP, OLD_IP, NEW_IP = "127.0.9.1", "127.0.9.2", "127.0.9.3"
PORTS = {"front": 0, "ready": 1, "control": 2, "directory": 3}
BUS_PORT = 10  # relative to the first port, as those above


@pytest.fixture(scope="module")
def old_build(tmp_path_factory) -> Path:
    """A checkout of the build in production."""
    folder = tmp_path_factory.mktemp("production")
    archive = subprocess.run(
        ["git", "archive", PRODUCTION, "src", "platform"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return folder


def test_this_build_reads_all_messages_of_the_build_in_production():
    old = json.loads(OLD_MESSAGES.read_text())
    assert readable_kinds(old) == list(old)
    assert set(all_kinds()) - set(old) == NEW_KINDS | NEW_NESTED_KINDS


def test_the_build_in_production_reads_all_messages_but_those_of_new_kinds(old_build):
    messages = encoded_samples()
    completed = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "message_samples.py"), "decode"],
        input=json.dumps(messages),
        env={**os.environ, "PYTHONPATH": str(old_build / "src")},
        capture_output=True,
        text=True,
        check=True,
    )
    unreadable = set(messages) - set(json.loads(completed.stdout))
    assert unreadable == NEW_KINDS | NEW_NESTED_KINDS


@attrs.frozen(kw_only=True)
class Host:
    """A process of either build that has the address ``ip``."""

    ip: str
    first_port: int
    process: subprocess.Popen
    log: Path

    def get(
        self, service: str, path: str, *, method: str = "GET", body: bytes = b"",
        host: str = "",
    ) -> tuple[int, bytes]:  # fmt: skip
        connection = http.client.HTTPConnection(
            self.ip, self.first_port + PORTS[service], timeout=3
        )
        headers = {"Host": host} if host else {}
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def wait(self, service: str, path: str, **request: object) -> bytes:
        """Repeat a request until it is answered with 200."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                status, body = self.get(service, path, **request)
                if status == 200:
                    return body
            except OSError:
                assert self.process.poll() is None, self.log.read_text()[-2000:]
            assert time.monotonic() < deadline, (
                f"{path}: {self.log.read_text()[-2000:]}"
            )
            time.sleep(0.05)


@contextmanager
def running(
    build: Path, role: str, ip: str, folder: Path, *, first_port: int
) -> Iterator[Host]:
    """Run one process; its data stays in ``folder``."""
    listen = {
        "control": ("control", "directory"),
        "gateway": ("front", "ready"),
    }[role]
    addresses = "\n".join(
        f'{name} = "{ip}:{first_port + PORTS[name]}"' for name in listen
    )
    settings = folder / f"{ip}.toml"
    settings.write_text(
        f"""
[self]
ip = "{ip}"
zone = "north-a"
region = "north"
bootstrap = {"true" if role == "control" else "false"}
data_dir = "{folder}/data"
[network]
internal_ports = [{first_port + BUS_PORT}, {first_port + BUS_PORT + 15}]
seeds = ["{CONTROL_IP}:{first_port + PORTS["control"]}"]
[network.zones]
north-a = "north"
[network.listen]
{addresses}
"""
    )
    log = folder / f"{ip}.log"
    with log.open("ab") as output:
        process = subprocess.Popen(
            [sys.executable, str(build / "platform" / "run.py"), role],
            cwd=build,
            env={
                **os.environ,
                "CHICORYHOLD_SETTINGS": str(settings),
                "PYTHONPATH": str(build / "src"),
            },
            stdout=output,
            stderr=output,
        )
    try:
        yield Host(ip=ip, first_port=first_port, process=process, log=log)
    finally:
        process.terminate()
        try:
            process.wait(timeout=10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def configuration(version: int) -> bytes:
    return json.dumps({**CONFIGURATION, "version": f"{version:08}"}).encode()


def test_each_build_reads_the_configuration_that_the_other_has_left_on_disk(
    old_build, tmp_path
):
    (port,) = free_ports(CONTROL_IP, 1)
    for version, build in enumerate((old_build, ROOT, old_build, ROOT), 1):
        with running(
            build, "control", CONTROL_IP, tmp_path, first_port=port
        ) as control:
            if version > 1:
                stored = control.wait("control", "/config")
                assert stored == configuration(version - 1)
            body = configuration(version)
            control.wait("control", "/config", method="PUT", body=body)


@pytest.mark.parametrize("control_is_old", [True, False])
def test_entry_hosts_of_both_builds_follow_a_control_host_of_either(
    control_is_old, old_build, tmp_path
):
    (port,) = free_ports(CONTROL_IP, 1)
    with ExitStack() as stack:

        def start(build: Path, role: str, ip: str) -> Host:
            return stack.enter_context(
                running(build, role, ip, tmp_path, first_port=port)
            )

        build = old_build if control_is_old else ROOT
        control = start(build, "control", CONTROL_IP)
        control.wait("control", "/config", method="PUT", body=configuration(1))
        hosts = [
            start(old_build, "gateway", OLD_IP),
            start(ROOT, "gateway", NEW_IP),
        ]
        for host in hosts:
            host.wait("ready", "/")
            # The route is known, and has no targets.
            status, body = host.get("front", "/a/x", host="shop.example")
            assert (status, json.loads(body)["refused"]) == (503, "no_target")
        control.wait("control", "/config", method="PUT", body=configuration(2))
        for host in (control, *hosts):
            assert host.process.poll() is None
        for host in (control, *hosts):
            assert dropped(host) == []


def dropped(host: Host) -> list[str]:
    """Return what the log says of messages that the host couldn't read."""
    lines = host.log.read_text().splitlines()
    return [line for line in lines if "dropped" in line]
