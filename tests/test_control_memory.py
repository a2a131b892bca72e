"""Memory of control hosts after many changes of a long configuration."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.control_hosts import ControlHosts
from tests.test_start_memory import counted_memory

NAMES = ("a", "b", "c")
ROUTES = 1_000
CHANGES = 80
MOST_BYTES_PER_HOST = 10_000_000
LARGEST_MESSAGE_BYTES = 1_200_000


@pytest.fixture
def hosts(tmp_path) -> Iterator[ControlHosts]:
    hosts = ControlHosts(folder=tmp_path, names=NAMES)
    hosts.run(5.0)
    try:
        yield hosts
    finally:
        hosts.close()


def put_many(hosts: ControlHosts) -> None:
    for version in range(1, CHANGES + 1):
        hosts.put(version, routes=ROUTES)


def test_memory_does_not_grow_with_the_changes(hosts):
    """Guards against CONFIG: the log had up to 500 long configurations."""
    hosts.put(1, routes=ROUTES)
    with counted_memory() as memory:
        for version in range(2, CHANGES):
            hosts.put(version, routes=ROUTES)
    assert memory.kept <= len(NAMES) * MOST_BYTES_PER_HOST


def test_an_empty_replica_gets_no_more_at_once_than_a_message_takes(hosts):
    """Guards against CONFIG: each leader in turn ran out of memory (review case 6).

    The leader put all of a long log in one message for a host that lost its disk.
    """
    put_many(hosts)
    lost = next(n for n in NAMES if hosts.hosts[n] is not hosts.leader)
    hosts.kill(lost)
    hosts.wipe(lost)
    hosts.run(1.0)
    hosts.network.largest = 0
    with counted_memory() as memory:
        hosts.start(lost)
        hosts.run(8.0)
    assert hosts.hosts[lost].state.configuration.version == CHANGES
    assert hosts.network.largest <= LARGEST_MESSAGE_BYTES
    assert memory.peak <= 2 * MOST_BYTES_PER_HOST


def test_a_start_of_all_hosts_holds_as_much_as_their_state_needs(hosts):
    """Guards against CONFIG: no host could start again (review case 7).

    Each read a log of hundreds of long configurations at once.
    """
    put_many(hosts)
    for name in NAMES:
        hosts.kill(name)
    with counted_memory() as memory:
        for name in NAMES:
            hosts.start(name)
        hosts.run(5.0)
    assert hosts.leader.state.configuration.version == CHANGES
    assert memory.peak <= len(NAMES) * MOST_BYTES_PER_HOST
