"""Configurations that are sent again, or late, to processes of control hosts."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from bench.stops.hosts import Place, PlatformProcess, free_internal_port, free_ports
from chicoryhold.trial.fleet import wait_until

IPS = tuple(f"127.0.54.{number}" for number in range(1, 4))
CALL_TIMEOUT_SECONDS = 2.0
ANSWER_TIMEOUT_SECONDS = 20.0
CLEAR_STATUSES = (200, 400, 409, 412, 413, 422)


def configuration(version: int, *, host: str = "first.example") -> dict[str, object]:
    route = {
        "name": "r",
        "host": host,
        "path_prefix": "/a/",
        "kind": "safe",
        "timeout_s": 1.0,
        "service": "s",
    }
    return {
        "version": f"{version:08x}",
        "routes": [route],
        "services": [{"name": "s"}],
    }


def formats(fields: dict[str, object]) -> tuple[bytes, ...]:
    """Return the same document in several formats."""
    plain = json.dumps(fields)
    spaced = json.dumps(dict(reversed(fields.items())), indent=2)
    return tuple(text.encode() for text in (plain, spaced, plain.replace("1.0", "1e0")))


def listen(ip: str, port: int) -> str:
    directory_port = free_ports(ip, 1)[0]
    return f'control = "{ip}:{port}"\ndirectory = "{ip}:{directory_port}"'


class ControlGroup:
    """Three control hosts, each of which is asked until its answer is clear."""

    def __init__(self, *, place: Place) -> None:
        self._addresses = dict(place.seeds)
        self._processes = [
            PlatformProcess(kind="control", ip=ip, place=place, listen=listen(ip, port))
            for ip, port in place.seeds
        ]

    def start(self) -> None:
        for process in self._processes:
            process.start()

    def kill(self) -> None:
        for process in self._processes:
            process.kill()

    def put(self, ip: str, body: bytes) -> int:
        return wait_until(
            lambda: self._clear_answer(ip, "PUT", body),
            what=f"a clear answer of {ip}",
            timeout=ANSWER_TIMEOUT_SECONDS,
        )[0]

    def read(self, ip: str) -> bytes:
        return wait_until(
            lambda: self._clear_answer(ip, "GET"),
            what=f"a configuration from {ip}",
            timeout=ANSWER_TIMEOUT_SECONDS,
        )[1]

    def _clear_answer(
        self, ip: str, method: str, body: bytes = b""
    ) -> tuple[int, bytes] | None:
        connection = http.client.HTTPConnection(
            ip, self._addresses[ip], timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.request(method, "/config", body=body)
            response = connection.getresponse()
            answer = response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        return answer if answer[0] in CLEAR_STATUSES else None


@pytest.fixture
def group(tmp_path) -> Iterator[ControlGroup]:
    place = Place(
        folder=tmp_path,
        seeds=[(ip, free_ports(ip, 1)[0]) for ip in IPS],
        internal_port=free_internal_port(IPS),
        grace_seconds=6.0,
    )
    group = ControlGroup(place=place)
    with ExitStack() as stack:
        stack.callback(group.kill)
        group.start()
        yield group


def test_an_accepted_configuration_is_accepted_again_and_never_replaced_by_another(
    group,
):
    held = formats(configuration(7))
    others = [
        json.dumps(configuration(version, host="other.example")).encode()
        for version in (7, 3)
    ]
    assert group.put(IPS[0], held[0]) == 200
    for is_restarted in (False, True):
        if is_restarted:
            group.kill()
            group.start()
        for body in (*held, *others):
            assert [group.put(ip, body) for ip in IPS] == [200] * len(IPS)
            assert [group.read(ip) for ip in IPS] == [held[0]] * len(IPS)


def test_of_two_configurations_sent_at_once_all_hosts_keep_the_same(group):
    same_version = [
        json.dumps(configuration(7, host=f"{name}.example")).encode() for name in "ab"
    ]
    higher = json.dumps(configuration(9)).encode()
    lower = json.dumps(configuration(8)).encode()
    with ThreadPoolExecutor() as pool:
        assert list(pool.map(group.put, IPS, same_version)) == [200, 200]
        kept = [group.read(ip) for ip in IPS]
        assert kept[0] in same_version
        assert kept == [kept[0]] * len(IPS)
        assert list(pool.map(group.put, IPS, (higher, lower))) == [200, 200]
    assert [group.read(ip) for ip in IPS] == [higher] * len(IPS)
