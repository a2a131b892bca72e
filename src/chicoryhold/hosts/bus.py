"""Request and reply between the processes of the system over ZeroMQ sockets.

One thread owns all sockets. A process listens on one ROUTER socket and opens one
DEALER socket to each peer that it sends to. Handlers run on that thread and must not
block: they return the reply at once, or a future of it.
"""

from __future__ import annotations

import collections
import os
import struct
import threading
import time
import weakref
from collections.abc import Callable, Iterator
from concurrent.futures import Future, TimeoutError as FutureTimeout
from contextlib import contextmanager

import attrs
import zmq
from loguru import logger

from chicoryhold.codec import decode, encode
from chicoryhold.crash import create_critical_thread
from chicoryhold.errors import AddressInUse, PeerTimeout, UnknownMessage, UnknownPeer
from chicoryhold.hosts.transport import Transport

HIGH_WATER_MARK_MESSAGES = 10_000
HEARTBEAT_INTERVAL_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 2_500
# These three are longer than a round trip on a slow link, and a handshake is several of
# them: on a link slower than that there would never be a connection.
TCP_MAX_RETRANSMIT_MS = 2_500
CONNECT_TIMEOUT_MS = 2_000
HANDSHAKE_TIMEOUT_MS = 8_000
RECONNECT_INTERVAL_MS = 50
RECONNECT_INTERVAL_MAX_MS = 1_000
POLL_TIMEOUT_MS = 1_000
LATE_REPLY_SECONDS = 5.0  # a reply that comes later than that is of no use to anybody
_REQUEST_ID = struct.Struct("<Q")
_NO_REPLY = 0  # the request id of messages that ask for no reply

Handler = Callable[[str, object], object]


@attrs.frozen(kw_only=True)
class _OutgoingMessage:
    peer: str
    request_id: int
    payload: bytes


@attrs.frozen(kw_only=True)
class _OutgoingReply:
    routing_id: bytes
    request_id: bytes
    payload: bytes


@attrs.frozen(kw_only=True)
class _Connect:
    peer: str


class Bus:
    """Sends typed messages to named peers and replies to theirs."""

    def __init__(
        self, *, name: str, address: str, transport: Transport,
    ) -> None:  # fmt: skip
        self._name = name
        self._address = address
        self._transport = transport
        self._handlers: dict[type, Handler] = {}
        self._outbox: collections.deque[
            _OutgoingMessage | _OutgoingReply | _Connect
        ] = collections.deque()
        self._pending: dict[int, Future] = {}
        self._late: collections.deque[tuple[float, Future]] = collections.deque()
        self._next_request_id = 1
        self._lock = threading.Lock()
        self._wake_read, self._wake_write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        # The pipe outlives stop(), because other threads may still send then.
        for end in (self._wake_read, self._wake_write):
            weakref.finalize(self, os.close, end)
        self._dealers: dict[str, zmq.Socket] = {}
        self._stopping = False
        self._context = zmq.Context()
        self._thread = create_critical_thread(self._run, name="bus")

    @property
    def name(self) -> str:
        return self._name

    def handle(self, kind: type, handler: Handler) -> None:
        """Reply to messages of ``kind`` with ``handler(sender_name, message)``.

        A handler that returns ``None`` sends no reply.
        """
        self._handlers[kind] = handler

    def connect(self, peer: str) -> None:
        """Open a connection to ``peer``, so that its first message need not wait."""
        self._enqueue(_Connect(peer=peer))

    def tell(self, peer: str, message: object) -> None:
        """Send ``message`` without asking for a reply; it may be lost."""
        self._enqueue(
            _OutgoingMessage(peer=peer, request_id=_NO_REPLY, payload=encode(message))
        )

    def ask(self, peer: str, message: object) -> Future:
        """Send ``message`` and return a future of the reply.

        The future stays pending if the peer is gone: wait on it with a timeout, and
        pass it to :meth:`forget` afterwards.
        """
        if self._transport.address_of(peer) is None:
            raise UnknownPeer(f"peer {peer!r} has no address: add it to the settings")
        future: Future = Future()
        with self._lock:
            request_id = self._next_request_id
            self._next_request_id += 1
            self._pending[request_id] = future
        future.request_id = request_id
        self._enqueue(
            _OutgoingMessage(peer=peer, request_id=request_id, payload=encode(message))
        )
        return future

    def forget(self, future: Future) -> None:
        """Stop waiting for the reply of ``future``; a late one is discarded."""
        with self._lock:
            self._pending.pop(future.request_id, None)

    def call(
        self, peer: str, message: object, *, timeout: float,
        on_late: Callable[[object], None] | None = None,
    ) -> object:  # fmt: skip
        """Return the reply of ``peer``, or raise ``PeerTimeout``.

        ``on_late`` is called, on any thread, with a reply that arrives after that. It
        must not block.
        """
        future = self.ask(peer, message)
        try:
            return future.result(timeout)
        except FutureTimeout:
            if on_late is not None:
                self._expect_late(future, on_late)
            raise PeerTimeout(
                f"{peer} didn't reply within {timeout:.2f} s: check its process and "
                "the network"
            ) from None
        finally:
            if on_late is None:
                self.forget(future)

    def start(self) -> None:
        """Bind the listening socket and start the socket thread."""
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
        """Stop the socket thread and close all sockets."""
        self._stopping = True
        self._wake()
        self._thread.join()
        self._transport.stop()
        self._context.destroy(linger=0)

    def _expect_late(self, future: Future, on_late: Callable[[object], None]) -> None:
        self._late.append((time.monotonic() + LATE_REPLY_SECONDS, future))
        future.add_done_callback(lambda done: on_late(done.result()))

    def _forget_very_late(self) -> None:
        while self._late and self._late[0][0] < time.monotonic():
            self.forget(self._late.popleft()[1])

    def _enqueue(self, item: _OutgoingMessage | _OutgoingReply | _Connect) -> None:
        self._outbox.append(item)
        self._wake()

    def _wake(self) -> None:
        try:
            os.write(self._wake_write, b"x")
        except BlockingIOError:
            # The pipe is full, so the thread will wake in any case.
            return

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MARK_MESSAGES
        socket.rcvhwm = HIGH_WATER_MARK_MESSAGES
        socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
        socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        # Unacknowledged data reveals a lost connection long before the next heartbeat
        # is due.
        socket.setsockopt(zmq.TCP_MAXRT, TCP_MAX_RETRANSMIT_MS)
        # The kernel retransmits a lost SYN at growing intervals. After the end of a
        # network partition, a new connection attempt succeeds much sooner.
        socket.connect_timeout = CONNECT_TIMEOUT_MS
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        socket.reconnect_ivl = RECONNECT_INTERVAL_MS
        socket.reconnect_ivl_max = RECONNECT_INTERVAL_MAX_MS
        return socket

    def _run(self) -> None:
        self._poller = zmq.Poller()
        self._poller.register(self._router, zmq.POLLIN)
        self._poller.register(self._wake_read, zmq.POLLIN)
        while not self._stopping:
            for ready, _ in self._poller.poll(POLL_TIMEOUT_MS):
                self._read(ready)
            self._flush()
            self._forget_very_late()

    def _read(self, ready: object) -> None:
        if ready == self._wake_read:
            os.read(self._wake_read, 4096)
        elif ready is self._router:
            self._drain(self._router, self._on_request)
        else:
            self._drain(ready, lambda frames: self._on_reply(ready, frames))

    def _drain(
        self, socket: zmq.Socket, action: Callable[[list[zmq.Frame]], None]
    ) -> None:
        for _ in range(HIGH_WATER_MARK_MESSAGES):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            action(frames)

    def _on_request(self, frames: list[zmq.Frame]) -> None:
        sender = self._transport.sender_of(frames[0], frames[-1])
        try:
            _check_frames(frames, count=3)
            routing_id, request_id, payload = frames
            message = decode(payload.bytes)
        except UnknownMessage as error:
            logger.warning("bus: dropped a message from {}: {}", sender, error)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            logger.warning(
                "bus: dropped a message: no handler for kind {}.",
                type(message).__name__,
            )
            return
        wants_reply = _REQUEST_ID.unpack(request_id.bytes)[0] != _NO_REPLY
        try:
            reply = handler(sender, message)
            if wants_reply:
                self._send_reply(routing_id.bytes, request_id.bytes, reply)
        except Exception as error:
            # Ending the process here would let a peer stop it by what it sends.
            logger.opt(exception=error).error(
                "bus: the handler of {} failed; dropped the message from {}.",
                type(message).__name__,
                sender,
            )

    def _send_reply(self, routing_id: bytes, request_id: bytes, reply: object) -> None:
        if isinstance(reply, Future):
            reply.add_done_callback(
                lambda done: self._send_reply_when_done(routing_id, request_id, done)
            )
        elif reply is not None:
            self._enqueue(
                _OutgoingReply(
                    routing_id=routing_id, request_id=request_id, payload=encode(reply)
                )
            )

    def _send_reply_when_done(
        self, routing_id: bytes, request_id: bytes, done: Future
    ) -> None:
        try:
            self._send_reply(routing_id, request_id, done.result())
        except Exception as error:
            # The sender of the request times out, as it does after a lost message.
            logger.opt(exception=error).error("bus: a reply could not be sent.")

    def _on_reply(self, dealer: zmq.Socket, frames: list[zmq.Frame]) -> None:
        try:
            _check_frames(frames, count=2)
            request_id, payload = frames
            message = decode(payload.bytes)
        except UnknownMessage as error:
            # The future stays pending, as it does after a lost reply.
            peer = self._peer_of(dealer)
            logger.warning("bus: dropped a reply from {}: {}", peer, error)
            return
        with self._lock:
            future = self._pending.pop(_REQUEST_ID.unpack(request_id.bytes)[0], None)
        if future is not None:
            future.set_result(message)

    def _peer_of(self, dealer: zmq.Socket) -> str:
        return next(name for name, other in self._dealers.items() if other is dealer)

    def _flush(self) -> None:
        while self._outbox:
            item = self._outbox.popleft()
            try:
                self._send(item)
            except zmq.Again:
                # The queue is full or the peer is gone. A request that is lost here
                # times out at its sender.
                continue

    def _send(self, item: _OutgoingMessage | _OutgoingReply | _Connect) -> None:
        if isinstance(item, _Connect):
            self._dealer(item.peer)
            return
        if isinstance(item, _OutgoingReply):
            frames = [item.routing_id, item.request_id, item.payload]
            self._router.send_multipart(frames, zmq.NOBLOCK)
            return
        dealer = self._dealer(item.peer)
        if dealer is not None:
            frames = [_REQUEST_ID.pack(item.request_id), item.payload]
            dealer.send_multipart(frames, zmq.NOBLOCK)

    def _dealer(self, peer: str) -> zmq.Socket | None:
        dealer = self._dealers.get(peer)
        if dealer is None:
            address = self._transport.address_of(peer)
            if address is None:
                logger.warning("bus: peer {} has no key or address.", peer)
                return None
            dealer = self._open_dealer(peer, address)
        return dealer

    def _open_dealer(self, peer: str, address: str) -> zmq.Socket | None:
        dealer = self._socket(zmq.DEALER)
        try:
            self._transport.prepare_connecting(dealer, peer)
            dealer.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            # Peers report each other's names, so a name may be no address.
            logger.warning("bus: can't connect to {}: {}", peer, error)
            dealer.close()
            return None
        self._poller.register(dealer, zmq.POLLIN)
        self._dealers[peer] = dealer
        return dealer


def _check_frames(frames: list[zmq.Frame], *, count: int) -> None:
    """Raise ``UnknownMessage`` unless there are ``count`` frames with a request id."""
    if len(frames) != count:
        raise UnknownMessage(
            f"it has {len(frames)} frames, not {count}: run the same version everywhere"
        )
    request_id = frames[-2]
    if len(request_id) != _REQUEST_ID.size:
        raise UnknownMessage(
            f"its request id has {len(request_id)} bytes, not {_REQUEST_ID.size}: run "
            "the same version everywhere"
        )


@contextmanager
def running_bus(bus: Bus) -> Iterator[Bus]:
    """Run ``bus`` for the duration of the block."""
    bus.start()
    try:
        yield bus
    finally:
        bus.stop()
