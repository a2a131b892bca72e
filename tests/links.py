"""Targets on loopback, and links to them that can be cut for one host only."""

from __future__ import annotations

import enum
import http.server
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

IP = "127.0.0.1"
POLL_SECONDS = 0.02
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time at all


class Cut(enum.Enum):
    """How a cut shows: what becomes of new connections, and of open ones."""

    HANG = "new connects get no response, open connections stall"
    REFUSE = "new connects are refused, open connections live on"
    RESET = "new connects are refused, open connections are reset"


RUN_SECONDS = 0.04  # so that several run at once, and connections are opened


class StandInTarget:
    """Responds to every request and counts how often each request id ran.

    While ``may_respond`` is cleared, requests run and get no response. ``status`` and
    ``extra_headers`` are those of the responses from now on.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.may_respond = threading.Event()
        self.may_respond.set()
        self.status = 200
        self.extra_headers: dict[str, str] = {}
        target = self
        runs, may_respond = self.runs, self.may_respond

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                request_id = self.headers["Request-Id"]
                runs[request_id] += 1
                time.sleep(RUN_SECONDS)
                may_respond.wait()
                self.send_response(target.status)
                self.send_header("Request-Id", request_id)
                for name, value in target.extra_headers.items():
                    self.send_header(name, value)
                self.send_header("Server-Seal", "s1")
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"ok")

            def log_message(self, *_: object) -> None:
                return

        self._server = http.server.ThreadingHTTPServer((IP, 0), Handler)
        self._server.daemon_threads = True
        self.address = f"{IP}:{self._server.server_port}"

    @contextmanager
    def running(self) -> Iterator[None]:
        thread = threading.Thread(
            target=self._server.serve_forever,
            args=[POLL_SECONDS],
            daemon=True,
        )
        thread.start()
        try:
            yield
        finally:
            self._server.shutdown()
            self._server.server_close()


class Link:
    """Forwards connections to a target until it is cut."""

    def __init__(self, target: StandInTarget) -> None:
        self._target = target
        self._flowing = threading.Event()
        self._flowing.set()
        self._connections: list[socket.socket] = []
        self._listener = socket.create_server((IP, 0))
        self._port = self._listener.getsockname()[1]
        self._substitutes = ExitStack()
        self.address = f"{IP}:{self._port}"
        self._start_accepting()

    def cut(self, how: Cut) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        if how is Cut.HANG:
            self._flowing.clear()
            self._fill_backlog()
            return
        self._reserve_port()
        if how is Cut.RESET:
            self._reset_connections()

    def _reserve_port(self) -> None:
        """Keep the port, which refuses connects, from being used by another process."""
        unused = self._substitutes.enter_context(socket.socket())
        unused.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        unused.bind((IP, self._port))

    def restore(self) -> None:
        self._substitutes.close()
        self._listener = socket.create_server((IP, self._port))
        self._flowing.set()
        self._start_accepting()

    def close(self) -> None:
        self._flowing.set()
        self._listener.close()
        self._substitutes.close()
        self._reset_connections()

    def _fill_backlog(self) -> None:
        """Listen with a full backlog: the kernel then ignores further connects."""
        substitute = self._substitutes.enter_context(socket.socket())
        substitute.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        substitute.bind((IP, self._port))
        substitute.listen(0)
        self._substitutes.enter_context(socket.create_connection((IP, self._port)))

    def _reset_connections(self) -> None:
        for connection in self._connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                continue  # closed already
        self._connections.clear()

    def _start_accepting(self) -> None:
        threading.Thread(
            target=self._accept, args=[self._listener], daemon=True
        ).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                near, _ = listener.accept()
                host, _, port = self._target.address.rpartition(":")
                far = socket.create_connection((host, int(port)))
            except OSError:
                return
            self._connections += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward, args=[source, sink], daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                self._flowing.wait()
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return
