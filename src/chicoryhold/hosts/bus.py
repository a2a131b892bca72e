"""Request and reply between the system's processes over ZeroMQ sockets.

One thread owns every socket. A process listens on one ROUTER and opens one DEALER to
each peer that it asks. Handlers run on that thread and must not block: they answer at
once or return a future.
"""

from __future__ import annotations

import collections
import os
import struct
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, TimeoutError as FutureTimeout
from contextlib import contextmanager

import attrs
import zmq
from loguru import logger

from chicoryhold.codec import decode, encode
from chicoryhold.errors import AddressInUse, PeerTimeout, UnknownMessage, UnknownPeer
from chicoryhold.hosts.transport import Transport

SEND_QUEUE_MESSAGES = 10_000
HEARTBEAT_INTERVAL_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 2_500
UNACKNOWLEDGED_MS = 1_500
CONNECT_TIMEOUT_MS = 800
HANDSHAKE_TIMEOUT_MS = 1_500
RECONNECT_FIRST_MS = 50
RECONNECT_LAST_MS = 1_000
POLL_MS = 1_000
_NUMBER = struct.Struct("<Q")
_NO_REPLY = 0

Handler = Callable[[str, object], object]


@attrs.frozen(kw_only=True)
class _Outgoing:
    peer: str
    number: int
    payload: bytes


@attrs.frozen(kw_only=True)
class _Answer:
    route: bytes
    number: bytes
    payload: bytes


@attrs.frozen(kw_only=True)
class _Connect:
    peer: str


class Bus:
    """Sends typed messages to named peers and answers theirs."""

    def __init__(
        self, *, name: str, address: str, transport: Transport,
    ) -> None:  # fmt: skip
        self._name = name
        self._address = address
        self._transport = transport
        self._handlers: dict[type, Handler] = {}
        self._outbox: collections.deque[_Outgoing | _Answer | _Connect] = (
            collections.deque()
        )
        self._waiting: dict[int, Future] = {}
        self._next_number = 1
        self._lock = threading.Lock()
        self._wake_read, self._wake_write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._dealers: dict[str, zmq.Socket] = {}
        self._stopping = False
        self._context = zmq.Context()
        self._thread = threading.Thread(target=self._run, name="bus", daemon=True)

    @property
    def name(self) -> str:
        return self._name

    def handle(self, kind: type, handler: Handler) -> None:
        """Answer messages of ``kind`` by ``handler(sender_name, message)``."""
        self._handlers[kind] = handler

    def connect(self, peer: str) -> None:
        """Open a connection to ``peer``, so that the first message finds it open."""
        self._post(_Connect(peer=peer))

    def tell(self, peer: str, message: object) -> None:
        """Send without waiting for an answer; the message may be lost."""
        self._post(_Outgoing(peer=peer, number=_NO_REPLY, payload=encode(message)))

    def ask(self, peer: str, message: object) -> Future:
        """Send ``message`` and return a future of the answer.

        The future never fails by itself when the peer is gone: wait on it with a
        timeout, and :meth:`forget` it after.
        """
        if self._transport.address_of(peer) is None:
            raise UnknownPeer(f"peer {peer!r} has no address: add it to the settings")
        future: Future = Future()
        with self._lock:
            number = self._next_number
            self._next_number += 1
            self._waiting[number] = future
        future.number = number
        self._post(_Outgoing(peer=peer, number=number, payload=encode(message)))
        return future

    def forget(self, future: Future) -> None:
        """Drop interest in the answer of ``future``."""
        with self._lock:
            self._waiting.pop(future.number, None)

    def call(self, peer: str, message: object, *, timeout: float) -> object:
        """Return the answer of ``peer``, or raise ``PeerTimeout``."""
        future = self.ask(peer, message)
        try:
            return future.result(timeout)
        except FutureTimeout:
            raise PeerTimeout(
                f"{peer} gave no answer in {timeout:.2f} s: check its process and link"
            ) from None
        finally:
            self.forget(future)

    def start(self) -> None:
        """Bind the listening socket and start the thread."""
        self._transport.start(self._context)
        self._router = self._socket(zmq.ROUTER)
        self._transport.prepare_listening(self._router)
        try:
            self._router.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            self._transport.stop()
            raise AddressInUse(
                f"can't listen on {self._address}: {error}; stop the other process "
                "or change the address in the settings"
            ) from error
        self._thread.start()

    def stop(self) -> None:
        """Close all sockets."""
        self._stopping = True
        self._wake()
        self._thread.join()
        self._transport.stop()
        self._context.destroy(linger=0)
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _post(self, item: _Outgoing | _Answer | _Connect) -> None:
        self._outbox.append(item)
        self._wake()

    def _wake(self) -> None:
        try:
            os.write(self._wake_write, b"x")
        except BlockingIOError:
            # A full pipe already wakes the thread.
            return

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.rcvhwm = SEND_QUEUE_MESSAGES
        socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        # A path that was lost shows by data that nobody acknowledges, long before
        # the next heartbeat.
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        # The kernel repeats a lost opening packet ever more rarely. A new try
        # finds a healed path much sooner.
        socket.connect_timeout = CONNECT_TIMEOUT_MS
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        socket.reconnect_ivl = RECONNECT_FIRST_MS
        socket.reconnect_ivl_max = RECONNECT_LAST_MS
        return socket

    def _run(self) -> None:
        self._poller = zmq.Poller()
        self._poller.register(self._router, zmq.POLLIN)
        self._poller.register(self._wake_read, zmq.POLLIN)
        while not self._stopping:
            for ready, _ in self._poller.poll(POLL_MS):
                self._read(ready)
            self._flush()

    def _read(self, ready: object) -> None:
        if ready == self._wake_read:
            os.read(self._wake_read, 4096)
        elif ready is self._router:
            self._drain(self._router, self._on_request)
        else:
            self._drain(ready, self._on_answer)

    def _drain(
        self, socket: zmq.Socket, action: Callable[[list[zmq.Frame]], None]
    ) -> None:
        for _ in range(SEND_QUEUE_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            action(frames)

    def _on_request(self, frames: list[zmq.Frame]) -> None:
        route, number, payload = frames
        sender = self._transport.sender_of(route, payload)
        try:
            message = decode(payload.bytes)
        except UnknownMessage as error:
            logger.warning("bus: message from {} dropped. {}", sender, error)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            logger.warning("bus: no handler for {}.", type(message).__name__)
            return
        answer = handler(sender, message)
        wants_reply = _NUMBER.unpack(number.bytes)[0] != _NO_REPLY
        if wants_reply:
            self._answer(route.bytes, number.bytes, answer)

    def _answer(self, route: bytes, number: bytes, answer: object) -> None:
        if isinstance(answer, Future):
            answer.add_done_callback(
                lambda done: self._answer_when_done(route, number, done)
            )
        elif answer is not None:
            self._post(_Answer(route=route, number=number, payload=encode(answer)))

    def _answer_when_done(self, route: bytes, number: bytes, done: Future) -> None:
        if done.cancelled() or done.exception() is not None:
            # The asker runs into its timeout, the same as after a lost message.
            return
        self._answer(route, number, done.result())

    def _on_answer(self, frames: list[zmq.Frame]) -> None:
        number, payload = frames
        with self._lock:
            future = self._waiting.pop(_NUMBER.unpack(number.bytes)[0], None)
        if future is not None:
            future.set_result(decode(payload.bytes))

    def _flush(self) -> None:
        while self._outbox:
            item = self._outbox.popleft()
            try:
                self._send(item)
            except zmq.Again:
                # A full queue or a gone peer: the asker's timeout covers the loss.
                continue

    def _send(self, item: _Outgoing | _Answer | _Connect) -> None:
        if isinstance(item, _Connect):
            self._dealer(item.peer)
            return
        if isinstance(item, _Answer):
            frames = [item.route, item.number, item.payload]
            self._router.send_multipart(frames, zmq.NOBLOCK)
            return
        dealer = self._dealer(item.peer)
        if dealer is not None:
            frames = [_NUMBER.pack(item.number), item.payload]
            dealer.send_multipart(frames, zmq.NOBLOCK)

    def _dealer(self, peer: str) -> zmq.Socket | None:
        dealer = self._dealers.get(peer)
        if dealer is None:
            address = self._transport.address_of(peer)
            if address is None:
                logger.warning("bus: peer {} has no key or address.", peer)
                return None
            dealer = self._socket(zmq.DEALER)
            self._transport.prepare_connecting(dealer, peer)
            dealer.connect(f"tcp://{address}")
            self._poller.register(dealer, zmq.POLLIN)
            self._dealers[peer] = dealer
        return dealer


@contextmanager
def running_bus(bus: Bus) -> Iterator[Bus]:
    """Run ``bus`` until the block ends."""
    bus.start()
    try:
        yield bus
    finally:
        bus.stop()
