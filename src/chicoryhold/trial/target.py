"""A stand-in target: announces itself, echoes requests, and fails on demand.

The request header ``Trial`` chooses a fault: ``short``, ``long``, ``swapped``,
``silent``, ``die``, ``shed``, ``error`` or ``slow SECONDS``. ``GET /trial/seen`` asked
directly returns every request that ran here.
"""

from __future__ import annotations

import json
import os
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from uuid import uuid4

import urllib3
from absl import flags

from chicoryhold.programs.running import run_program

USAGE = """Runs a stand-in target.

usage: %s --service=NAME --address=IP:PORT --entry=IP:PORT,... --token=TOKEN
"""
ANNOUNCE_INTERVAL = 0.5
ANNOUNCE_TIMEOUT = 3.0

_SERVICE = flags.DEFINE_string("service", "menus", "The service it answers for.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "Where it listens.")
_ENTRY = flags.DEFINE_list("entry", [], "Entry hosts to announce itself to.")
_TOKEN = flags.DEFINE_string("token", "", "The announcement token.")
_SLOTS = flags.DEFINE_integer("slots", 4, "Requests it handles at once.")
_LINGER = flags.DEFINE_float("linger", 0.0, "Seconds that it stays after draining.")
_DELAY = flags.DEFINE_float("delay", 0.0, "Seconds that each request takes.")


class _Seen:
    """What ran here, for the tests to ask."""

    def __init__(self) -> None:
        self.requests: list[dict] = []
        self.at_once = 0
        self.most_at_once = 0
        self.lock = threading.Lock()


_SEEN = _Seen()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Without this each answer waits for the caller's delayed acknowledgement.
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *arguments: object) -> None:
        return

    def do_GET(self) -> None:
        if self.path == "/trial/seen":
            self._report()
        else:
            self._run()

    def do_POST(self) -> None:
        self._run()

    do_PUT = do_DELETE = do_POST

    def _run(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        fault, _, value = self.headers.get("Trial", "").partition(" ")
        if fault == "shed":
            self._answer(503, b"busy", extra={"Chicoryhold-Ran": "no"})
            return
        with _SEEN.lock:
            _SEEN.at_once += 1
            _SEEN.most_at_once = max(_SEEN.most_at_once, _SEEN.at_once)
            _SEEN.requests.append(
                {
                    "method": self.command,
                    "path": self.path,
                    "headers": dict(self.headers.items()),
                    "body": body.decode("latin-1"),
                }
            )
            number = len(_SEEN.requests)
        try:
            time.sleep(_DELAY.value)
            self._misbehave(fault, value, number)
        finally:
            with _SEEN.lock:
                _SEEN.at_once -= 1

    def _misbehave(self, fault: str, value: str, number: int) -> None:
        answer = json.dumps(
            {
                "service": _SERVICE.value,
                "path": self.path,
                "number": number,
                "organisation": self.headers.get("Chicoryhold-Organisation", ""),
            }
        ).encode()
        if fault == "slow":
            time.sleep(float(value))
        if fault == "silent":
            time.sleep(3600)
        if fault == "die":
            os._exit(1)
        if fault == "short":
            self._answer(200, answer, claimed=len(answer) + 10)
            self.close_connection = True
        elif fault == "long":
            self._answer(200, answer, claimed=len(answer) - 10)
        elif fault == "swapped":
            self._answer(200, answer, request_id=uuid4().hex)
        elif fault == "error":
            self._answer(500, b"failed")
        else:
            self._answer(200, answer)

    def _answer(
        self, status: int, body: bytes, *, claimed: int | None = None,
        request_id: str | None = None, extra: dict[str, str] | None = None,
    ) -> None:  # fmt: skip
        own = self.headers.get("Chicoryhold-Request-Id", "")
        self.send_response(status)
        self.send_header(
            "Content-Length", str(len(body) if claimed is None else claimed)
        )
        self.send_header("Chicoryhold-Request-Id", request_id or own)
        for name, text in (extra or {}).items():
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def _report(self) -> None:
        with _SEEN.lock:
            report = {
                "requests": list(_SEEN.requests),
                "most_at_once": _SEEN.most_at_once,
            }
        self._answer(200, json.dumps(report).encode())


class _Announcer:
    """Renews the target's announcement at the first entry host that takes it."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._instance = uuid4().hex
        self._sequence = 0
        self._pool = urllib3.PoolManager(retries=False)

    def announce(self, *, draining: bool) -> int | None:
        """Return how many of the system's requests are here, if anyone answered."""
        self._sequence += 1
        announcement = {
            "service": _SERVICE.value,
            "address": self._address,
            "instance": self._instance,
            "sequence": self._sequence,
            "slots": _SLOTS.value,
            "connections": 900,
            "draining": draining,
            "load": 0.0,
        }
        for entry in _ENTRY.value:
            in_use = self._send(entry, announcement)
            if in_use is not None:
                return in_use
        return None

    def _send(self, entry: str, announcement: dict) -> int | None:
        headers = {"Authorization": f"Bearer {_TOKEN.value}"}
        url = f"http://{entry}/v1/announcements"
        try:
            answer = self._pool.request(
                "POST",
                url,
                json=announcement,
                headers=headers,
                timeout=ANNOUNCE_TIMEOUT,
            )
            return answer.json()["in_use"] if answer.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None


def _main(arguments: list[str]) -> None:
    host, _, port = _ADDRESS.value.rpartition(":")
    server = ThreadingHTTPServer((host, int(port)), _Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    leaving = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: leaving.set())
    announcer = _Announcer(f"{host}:{server.server_address[1]}")
    while not leaving.wait(ANNOUNCE_INTERVAL):
        announcer.announce(draining=False)
    while announcer.announce(draining=True):
        time.sleep(0.1)
    time.sleep(_LINGER.value)


if __name__ == "__main__":
    run_program(_main, usage=USAGE)
