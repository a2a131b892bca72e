"""The bus between hosts: network partitions, malformed messages, failed handlers."""

from __future__ import annotations

import os
import queue
import socket
import struct
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager, suppress

import pytest
import zmq
from loguru import logger

from bench.storms.links import SlowLink, Speed
from chicoryhold.codec import encode
from chicoryhold.control.messages import FetchChanges, JoinRequest
from chicoryhold.errors import PeerTimeout
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.hosts.transport import PlaintextTransport


def pack_id(request_id: int) -> bytes:
    return struct.pack("<Q", request_id)


OUTAGE_SECONDS = 7.5  # by then the kernel retransmits SYN packets rarely
RECOVERY_SECONDS = 2.5
SLOW_LINK_DELAY_SECONDS = 0.7  # each way
SLOW_CONNECTION_SECONDS = 10.0
REPLY_TIMEOUT_MS = 5_000
DEEP_MESSAGE = b"\x92\xabJoinRequest" + b"\x91" * 200_000
MALFORMED_REQUESTS = (
    [b"\xff" * 8],
    [pack_id(5), encode(FetchChanges(after=0)), b"one frame too many"],
    [b"short", encode(FetchChanges(after=0))],
    [pack_id(5), b"undecodable"],
    [pack_id(5), DEEP_MESSAGE],
)
ASKED = b"the id of the request"  # replaced in the test
MALFORMED_REPLIES = (
    [b"a single frame"],
    [ASKED, b"\x00", b"one frame too many"],
    [b"short", encode(FetchChanges(after=0))],
    [ASKED, b"undecodable"],
    [ASKED, DEEP_MESSAGE],
)


def free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def make_bus(name: str, port: int) -> Bus:
    transport = PlaintextTransport(name=name, port=port)
    return Bus(name=name, address=f"{name}:{port}", transport=transport)


@contextmanager
def dropping_syn_packets(ip: str, port: int) -> Iterator[None]:
    """Simulate a network partition: listen on a port whose accept queue is full."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex((ip, port))
        try:
            yield
        finally:
            for filler in fillers:
                filler.close()


def gets_reply(bus: Bus, peer: str, *, timeout: float = 0.25) -> bool:
    try:
        bus.call(peer, FetchChanges(after=1), timeout=timeout)
    except PeerTimeout:
        return False
    return True


def test_a_peer_replies_soon_after_a_network_partition_ends():
    # Guards against slow reconnects. After an outage of ten seconds an entry host
    # received nothing for six more seconds: its connections waited until the kernel
    # retransmitted their SYN packets.
    own, peer = "127.0.0.1", "127.0.7.2"
    port = free_port(peer)
    with running_bus(make_bus(own, port)) as bus:
        with dropping_syn_packets(peer, port):
            deadline = time.monotonic() + OUTAGE_SECONDS
            while time.monotonic() < deadline:
                assert not gets_reply(bus, peer)
        other = make_bus(peer, port)
        other.handle(FetchChanges, lambda sender, message: message)
        with running_bus(other):
            deadline = time.monotonic() + RECOVERY_SECONDS
            while not gets_reply(bus, peer):
                assert time.monotonic() < deadline, (
                    "no reply: the bus waits for the kernel to retransmit"
                )


def test_a_message_to_an_unreachable_peer_is_not_delivered_later():
    own, peer = "127.0.0.1", "127.0.7.3"
    port = free_port(peer)
    received: list[int] = []

    def record(sender: str, message: FetchChanges) -> FetchChanges:
        received.append(message.after)
        return message

    with running_bus(make_bus(own, port)) as bus:
        with pytest.raises(PeerTimeout):
            bus.call(peer, FetchChanges(after=1), timeout=0.3)
        other = make_bus(peer, port)
        other.handle(FetchChanges, record)
        with running_bus(other):
            deadline = time.monotonic() + RECOVERY_SECONDS
            while not received and time.monotonic() < deadline:
                try:
                    bus.call(peer, FetchChanges(after=2), timeout=0.25)
                except PeerTimeout:
                    continue
    assert set(received) == {2}


@contextmanager
def plain_socket(kind: int) -> Iterator[zmq.Socket]:
    """Yield a ZeroMQ socket of a peer that doesn't run a bus."""
    context = zmq.Context()
    try:
        yield context.socket(kind)
    finally:
        context.destroy(linger=0)


@pytest.fixture
def log() -> Iterator[list[str]]:
    """Yield the log lines, each with its level, that are written during the test."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level} {message}", backtrace=False)
    yield lines
    with suppress(ValueError):  # a process that fails closes its log itself
        logger.remove(sink)


def echo(sender: str, message: FetchChanges) -> FetchChanges:
    return message


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + REPLY_TIMEOUT_MS / 1000
    while not condition():
        assert time.monotonic() < deadline, "the condition didn't become true in time"
        time.sleep(0.01)


def request_from(peer: zmq.Socket, after: int) -> bytes | None:
    """Send a request from ``peer``; return the reply's request id and payload."""
    request = FetchChanges(after=after)
    peer.send_multipart([pack_id(after), encode(request)])
    return peer.recv_multipart() if peer.poll(REPLY_TIMEOUT_MS) else None


def test_a_malformed_request_does_not_stop_the_bus(log):
    port = free_port("127.0.0.1")
    bus = make_bus("127.0.0.1", port)
    bus.handle(FetchChanges, echo)
    with running_bus(bus), plain_socket(zmq.DEALER) as peer:
        peer.connect(f"tcp://127.0.0.1:{port}")
        for frames in MALFORMED_REQUESTS:
            peer.send_multipart(frames)
        reply = request_from(peer, after=7)
    assert reply == [pack_id(7), encode(FetchChanges(after=7))]
    dropped = [line for line in log if "bus: dropped a message from" in line]
    assert len(dropped) == len(MALFORMED_REQUESTS)


def test_a_malformed_reply_does_not_stop_the_bus_nor_complete_its_future(log):
    own, peer_name = "127.0.0.1", "127.0.7.4"
    port = free_port(peer_name)
    with running_bus(make_bus(own, port)) as bus, plain_socket(zmq.ROUTER) as peer:
        peer.bind(f"tcp://{peer_name}:{port}")
        bus.connect(peer_name)
        future = ask_until_received(bus, peer_name, peer)
        for frames in MALFORMED_REPLIES:
            reply = [pack_id(future.request_id) if f == ASKED else f for f in frames]
            peer.send_multipart([own.encode(), *reply])
        other = bus.ask(peer_name, FetchChanges(after=2))
        answer = encode(FetchChanges(after=3))
        peer.send_multipart([own.encode(), pack_id(other.request_id), answer])
        assert other.result(REPLY_TIMEOUT_MS / 1000) == FetchChanges(after=3)
        assert not future.done()
        peer.send_multipart([own.encode(), pack_id(future.request_id), answer])
        assert future.result(REPLY_TIMEOUT_MS / 1000) == FetchChanges(after=3)
    dropped = [line for line in log if "bus: dropped a reply" in line]
    assert len(dropped) == len(MALFORMED_REPLIES)


def ask_until_received(bus: Bus, name: str, peer: zmq.Socket) -> object:
    """Ask ``name`` until a request arrives at ``peer``; return its future.

    A message to a peer without an open connection is dropped.
    """
    for _ in range(REPLY_TIMEOUT_MS // 50):
        future = bus.ask(name, FetchChanges(after=1))
        if peer.poll(50):
            received = peer.recv_multipart()
            assert received[1] == pack_id(future.request_id)
            return future
        bus.forget(future)
    raise AssertionError("no request arrived")


def test_a_handler_that_raises_loses_its_message_and_not_the_bus(log):
    port = free_port("127.0.0.1")

    def fail(sender: str, message: JoinRequest) -> None:
        raise KeyError(message.identity)

    bus = make_bus("127.0.0.1", port)
    bus.handle(JoinRequest, fail)
    bus.handle(FetchChanges, echo)
    with running_bus(bus), plain_socket(zmq.DEALER) as peer:
        peer.connect(f"tcp://127.0.0.1:{port}")
        peer.send_multipart([pack_id(5), encode(JoinRequest(identity="x"))])
        reply = request_from(peer, after=7)
    assert reply == [pack_id(7), encode(FetchChanges(after=7))]
    failed = [line for line in log if "bus: the handler of JoinRequest failed" in line]
    assert len(failed) == 1
    assert failed[0].startswith("ERROR") and "KeyError: 'x'" in failed[0]


def test_a_peer_name_that_is_no_address_does_not_stop_the_bus(log):
    # A name comes from the peer itself, as the sender of a message.
    port = free_port("127.0.0.1")
    bus = make_bus("127.0.0.1", port)
    bus.handle(FetchChanges, echo)
    with running_bus(bus), plain_socket(zmq.DEALER) as peer:
        bus.tell("not an address", FetchChanges(after=1))
        peer.connect(f"tcp://127.0.0.1:{port}")
        reply = request_from(peer, after=7)
    assert reply == [pack_id(7), encode(FetchChanges(after=7))]
    assert any("bus: can't connect to not an address" in line for line in log)


def test_a_message_sent_while_the_process_stops_is_lost_without_an_error():
    # Guards against actors that fail, and end a stopping process as if it had crashed,
    # because they outlive the bus.
    port = free_port("127.0.0.1")
    with running_bus(make_bus("127.0.0.1", port)) as bus:
        pass
    bus.tell("127.0.7.6", FetchChanges(after=1))
    assert not bus.ask("127.0.7.6", FetchChanges(after=1)).done()


class FailingTransport(PlaintextTransport):
    """Raises when the bus opens a connection."""

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None:
        raise RuntimeError("a programming error")


def test_a_bus_thread_that_fails_ends_the_process(log, monkeypatch):
    exit_codes: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_codes.append)
    port = free_port("127.0.0.1")
    transport = FailingTransport(name="127.0.0.1", port=port)
    bus = Bus(name="127.0.0.1", address=f"127.0.0.1:{port}", transport=transport)
    with running_bus(bus):
        bus.connect("127.0.7.5")
        wait_until(lambda: bool(exit_codes))
    assert exit_codes == [70]
    failed = [line for line in log if "thread: bus failed; the process exits." in line]
    assert len(failed) == 1
    assert failed[0].startswith("CRITICAL") and "a programming error" in failed[0]


def test_a_reply_that_comes_after_its_call_timed_out_is_passed_on():
    own, peer = "127.0.0.1", "127.0.7.9"
    port = free_port(peer)
    reply: Future = Future()
    late: queue.SimpleQueue = queue.SimpleQueue()
    other = make_bus(peer, port)
    slow = FetchChanges(after=2)
    other.handle(FetchChanges, lambda _, sent: reply if sent == slow else sent)
    with running_bus(make_bus(own, port)) as bus, running_bus(other):
        while not gets_reply(bus, peer):
            pass
        with pytest.raises(PeerTimeout):
            bus.call(peer, slow, timeout=0.2, on_late=late.put)
        reply.set_result(slow)
        assert late.get(timeout=RECOVERY_SECONDS) == slow


class LinkedTransport(PlaintextTransport):
    """Reaches its only peer through a link."""

    def __init__(self, *, name: str, port: int, link: SlowLink) -> None:
        super().__init__(name=name, port=port)
        self._link = link

    def address_of(self, peer: str) -> str | None:
        return self._link.address


def test_a_link_slower_than_a_timeout_of_the_connection_still_gets_a_connection():
    own, peer = "127.0.0.1", "127.0.7.10"
    port = free_port(peer)
    link = SlowLink(ip=own, target=(peer, port))
    link.set_speed(Speed(delay=SLOW_LINK_DELAY_SECONDS))
    other = make_bus(peer, port)
    other.handle(FetchChanges, echo)
    transport = LinkedTransport(name=own, port=port, link=link)
    bus = Bus(name=own, address=f"{own}:{free_port(own)}", transport=transport)
    with link.running(), running_bus(other), running_bus(bus):
        bus.connect(peer)
        deadline = time.monotonic() + SLOW_CONNECTION_SECONDS
        while not gets_reply(bus, peer, timeout=3 * SLOW_LINK_DELAY_SECONDS):
            assert time.monotonic() < deadline, "no handshake ends in time"
