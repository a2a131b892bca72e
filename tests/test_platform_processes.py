"""The platform's processes as they are started there, on loopback."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest

ROOT = Path(__file__).resolve().parent.parent
IP = "127.0.8.1"
LONGEST_START = 20.0  # seconds
CONFIGURATION = {
    "version": "00000001",
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path_prefix": "/a/",
            "kind": "safe",
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
}


@attrs.frozen(kw_only=True)
class Running:
    """A control process that founded an installation by itself."""

    process: subprocess.Popen
    port: int

    def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(IP, self.port, timeout=3)
        try:
            connection.request(method, path, body=body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def wait_for(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Repeat a call until it succeeds; returns its body."""
        until = time.monotonic() + LONGEST_START
        while True:
            try:
                status, answer = self.call(method, path, body)
                if status == 200:
                    return answer
            except OSError:
                assert self.process.poll() is None, "the process has ended"
            assert time.monotonic() < until, f"no success of {method} {path} in time"
            time.sleep(0.05)


def free_ports(count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((IP, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


@pytest.fixture
def control(tmp_path) -> Iterator[Running]:
    control_port, directory_port, bus_port = free_ports(3)
    settings = tmp_path / "settings.toml"
    settings.write_text(
        f"""
[self]
ip = "{IP}"
zone = "north-a"
region = "north"
bootstrap = true
data_dir = "{tmp_path}/data"
[network]
internal_ports = [{bus_port}, {bus_port + 15}]
seeds = ["{IP}:{control_port}"]
[network.zones]
north-a = "north"
[network.listen]
control = "{IP}:{control_port}"
directory = "{IP}:{directory_port}"
"""
    )
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "run.py"), "control"],
        cwd=ROOT,
        env={**os.environ, "CHICORYHOLD_SETTINGS": str(settings)},
        stdout=subprocess.DEVNULL,
    )
    try:
        yield Running(process=process, port=control_port)
    finally:
        process.kill()
        process.wait()


def test_a_founder_accepts_a_configuration_and_reads_it_back_as_sent(control):
    body = json.dumps(CONFIGURATION).encode()
    control.wait_for("PUT", "/config", body)
    assert control.wait_for("GET", "/config") == body
    assert control.call("PUT", "/config", body[:-2])[0] == 400
    assert control.wait_for("POST", "/evacuation/north-a") == b"{}"


def test_a_process_survives_a_hangup_and_ends_in_order_at_sigterm(control):
    # Processes once ended at SIGHUP, the signal that says the settings have changed.
    control.wait_for("PUT", "/config", json.dumps(CONFIGURATION).encode())
    control.process.send_signal(signal.SIGHUP)
    control.wait_for("GET", "/config")
    assert control.process.poll() is None
    control.process.send_signal(signal.SIGTERM)
    assert control.process.wait(timeout=5) == 0
