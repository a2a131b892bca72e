"""Control hosts that are absent for a while, and others that lose their disks then."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest

from tests.control_hosts import ControlHosts

NAMES = ("a", "b", "c", "d", "e", "f")
ABSENT_SECONDS = 8.0
RECOVERY_SECONDS = 15.0


@pytest.fixture
def hosts(tmp_path) -> Iterator[ControlHosts]:
    hosts = ControlHosts(folder=tmp_path, names=NAMES)
    hosts.run(8.0)
    try:
        yield hosts
    finally:
        hosts.close()


def voters(hosts: ControlHosts) -> list[str]:
    """Return the names of the hosts that vote, the leader last."""
    leader = hosts.leader.replica
    names = [identity.partition(".")[0] for identity in leader.members.voters]
    leading = leader.identity.partition(".")[0]
    return sorted(names, key=lambda name: name == leading)


@pytest.mark.parametrize("absent", list(itertools.combinations(range(4), 2)))
def test_the_group_leads_again_after_two_were_absent_and_two_others_lost_their_disks(
    hosts, absent
):
    """Guards against CONFIG: nobody led again, for good (review case 8).

    The absent ones were counted out, and of four voters two lost their disks.
    """
    hosts.put(1, routes=3)
    voting = voters(hosts)
    away = [voting[position] for position in absent]
    others = [name for name in voting if name not in away]
    for name in away:
        hosts.kill(name)
    hosts.run(ABSENT_SECONDS / 2)
    hosts.put(2, routes=3)
    wiped = others[-2:]  # with the leader
    for name in wiped:
        hosts.kill(name)
        hosts.wipe(name)
    hosts.run(1.0)
    for name in wiped:
        hosts.start(name)
    hosts.run(ABSENT_SECONDS / 2)
    for name in away:
        hosts.start(name)
    hosts.run(RECOVERY_SECONDS)
    assert hosts.leader is not None
    hosts.put(3, routes=3)
    hosts.run(1.0)
    versions = {host.state.configuration.version for host in hosts.hosts.values()}
    assert versions == {3}
