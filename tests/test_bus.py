"""The bus between hosts during and after a network partition."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from chicoryhold.control.messages import FetchChanges
from chicoryhold.errors import PeerTimeout
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.hosts.transport import PlaintextTransport

OUTAGE_SECONDS = 7.5  # by then the kernel retransmits SYN packets rarely
RECOVERY_SECONDS = 2.5


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


def gets_reply(bus: Bus, peer: str) -> bool:
    try:
        bus.call(peer, FetchChanges(after=1), timeout=0.25)
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
