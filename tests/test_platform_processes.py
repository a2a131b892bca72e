"""Processes started as on the users' platform, on loopback."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import time
from collections.abc import Iterator

import attrs
import pytest

from tests.control_process import CONFIGURATION, started_control

IP = "127.0.8.1"
START_TIMEOUT_SECONDS = 20.0


@attrs.frozen(kw_only=True)
class ControlProcess:
    """A control process that is the only host of a new installation."""

    process: subprocess.Popen
    port: int

    def send_request(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(IP, self.port, timeout=3)
        try:
            connection.request(method, path, body=body)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def request_until_ok(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Repeat a request until it succeeds and return the response body."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                status, response_body = self.send_request(method, path, body)
                if status == 200:
                    return response_body
            except OSError:
                assert self.process.poll() is None, "the process has exited"
            assert time.monotonic() < deadline, (
                f"{method} {path} did not succeed in time"
            )
            time.sleep(0.05)


@pytest.fixture
def control(tmp_path) -> Iterator[ControlProcess]:
    with started_control(tmp_path, ip=IP, seeds=(IP,)) as started:
        _, port = started.control_address
        yield ControlProcess(process=started.process, port=port)


def test_new_installation_accepts_and_returns_a_configuration(control):
    body = json.dumps(CONFIGURATION).encode()
    control.request_until_ok("PUT", "/config", body)
    assert control.request_until_ok("GET", "/config") == body
    assert control.send_request("PUT", "/config", body[:-2])[0] == 400
    assert control.request_until_ok("POST", "/evacuation/north-a") == b"{}"


def test_process_continues_after_sighup_and_exits_cleanly_at_sigterm(control):
    # Regression test: SIGHUP announces changed settings, but terminated processes that
    # had no handler for it.
    control.request_until_ok("PUT", "/config", json.dumps(CONFIGURATION).encode())
    control.process.send_signal(signal.SIGHUP)
    control.request_until_ok("GET", "/config")
    assert control.process.poll() is None
    control.process.send_signal(signal.SIGTERM)
    assert control.process.wait(timeout=5) == 0


NEXT_VERSION = {**CONFIGURATION, "version": "00000002"}
NESTING = b"[" * 100_000 + b"]" * 100_000
UNREADABLE = tuple(
    json.dumps({**NEXT_VERSION, "note": "REPLACED"}).encode().replace(*replacement)
    for replacement in ((b"REPLACED", b"\xff"), (b'"REPLACED"', NESTING))
)


def test_a_configuration_that_can_not_be_read_is_refused_and_not_in_force(control):
    body = json.dumps(CONFIGURATION).encode()
    control.request_until_ok("PUT", "/config", body)
    statuses = [control.send_request("PUT", "/config", each)[0] for each in UNREADABLE]
    assert statuses == [400] * len(UNREADABLE)
    assert control.request_until_ok("GET", "/config") == body
