"""Clients that send far more than a host can serve, as a process of its own.

usage: python -m bench.storms.load IP PORT CLIENTS
"""

from __future__ import annotations

import http.client
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from subprocess import Popen
from uuid import uuid4

from bench.stops.operator import HOST_NAME

DEADLINE_MS = 1_000
WORK_SECONDS = 0.05
RETRY_PAUSE_SECONDS = 0.02


def send_forever(address: tuple[str, int]) -> None:
    """Send requests on one connection after the other, without heeding refusals."""
    while True:
        connection = http.client.HTTPConnection(*address, timeout=2.0)
        try:
            while True:
                headers = {
                    "Host": HOST_NAME,
                    "Request-Id": uuid4().hex[:16],
                    "Deadline-Ms": str(DEADLINE_MS),
                    "Work-Seconds": str(WORK_SECONDS),
                }
                connection.request("GET", "/load/x", headers=headers)
                connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            time.sleep(RETRY_PAUSE_SECONDS)
        finally:
            connection.close()


@contextmanager
def running_load(
    addresses: Sequence[tuple[str, int]], *, clients: int
) -> Iterator[None]:
    """Run a process with ``clients`` for each of ``addresses`` until the block ends."""
    with ExitStack() as stack:
        for ip, port in addresses:
            command = [sys.executable, "-m", "bench.storms.load"]
            process = Popen([*command, ip, str(port), str(clients)])
            stack.callback(process.wait)
            stack.callback(process.kill)
        yield


def main(ip: str, port: str, clients: str) -> None:
    for _ in range(int(clients)):
        address = (ip, int(port))
        threading.Thread(target=send_forever, args=[address], daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
