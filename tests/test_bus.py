"""The bus between hosts, on paths that are lost and heal."""

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

HEALED_AFTER = 7.5  # seconds; by then the kernel repeats opening packets rarely
ASKED_AGAIN_FOR = 2.5  # seconds


def free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def a_bus(name: str, port: int) -> Bus:
    transport = PlaintextTransport(name=name, port=port)
    return Bus(name=name, address=f"{name}:{port}", transport=transport)


@contextmanager
def swallowing_opening_packets(ip: str, port: int) -> Iterator[None]:
    """Hold a port whose queue of connections is full, as a cut path looks."""
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


def answers(bus: Bus, peer: str) -> bool:
    try:
        bus.call(peer, FetchChanges(after=1), timeout=0.25)
    except PeerTimeout:
        return False
    return True


def test_a_peer_answers_soon_after_a_cut_path_has_healed():
    # After ten seconds of cut an entry host heard nothing for six seconds more: its
    # connections waited for the kernel to repeat their opening packets.
    asker, peer = "127.0.0.1", "127.0.7.2"
    port = free_port(peer)
    with running_bus(a_bus(asker, port)) as bus:
        with swallowing_opening_packets(peer, port):
            until = time.monotonic() + HEALED_AFTER
            while time.monotonic() < until:
                assert not answers(bus, peer)
        other = a_bus(peer, port)
        other.handle(FetchChanges, lambda sender, message: message)
        with running_bus(other):
            until = time.monotonic() + ASKED_AGAIN_FOR
            while not answers(bus, peer):
                assert time.monotonic() < until, "the bus still waits for the kernel"


def test_a_message_to_a_peer_out_of_reach_is_not_delivered_later():
    asker, peer = "127.0.0.1", "127.0.7.3"
    port = free_port(peer)
    heard: list[int] = []

    def note(sender: str, message: FetchChanges) -> FetchChanges:
        heard.append(message.after)
        return message

    with running_bus(a_bus(asker, port)) as bus:
        with pytest.raises(PeerTimeout):
            bus.call(peer, FetchChanges(after=1), timeout=0.3)
        other = a_bus(peer, port)
        other.handle(FetchChanges, note)
        with running_bus(other):
            until = time.monotonic() + ASKED_AGAIN_FOR
            while not heard and time.monotonic() < until:
                try:
                    bus.call(peer, FetchChanges(after=2), timeout=0.25)
                except PeerTimeout:
                    continue
    assert set(heard) == {2}
