"""All control hosts lose power, and some of them their disks, at the same moment."""

from __future__ import annotations

from unittest import mock

import attrs
import pytest

from chicoryhold.errors import NotLeader
from tests.fakes import Group
from tests.group_model import Limits
from tests.replaced_hosts import HostSlot, ReplacedHosts
from tests.test_group_membership import CATCH_UP_SECONDS, RECOVERY_SECONDS, regions

ROUNDS = 4
INSTALLATIONS = {
    "3": (regions(3), Limits(hosts=1)),
    "5 in 3": (regions(2, 2, 1), Limits(hosts=2, domains=1, regions=1)),
    "6 in 3": (regions(2, 2, 2), Limits(hosts=2, domains=1, regions=1)),
}


class InterruptedGroup(Group):
    """A replica may lose power between any two writes or messages of one step.

    ``left`` is how many more effects a replica runs before its power is lost.
    """

    def __init__(self, **fields: object) -> None:
        self.left: dict[str, int] = {}
        super().__init__(**fields)

    def _run_effect(self, name: str, effect: object) -> None:
        left = self.left.get(name)
        if left == 0:
            return
        if left is not None:
            self.left[name] = left - 1
        super()._run_effect(name, effect)

    def lose_power(self) -> None:
        """End all replicas; what they have sent and nobody has read is lost."""
        for name in list(self.replicas):
            self.crash(name)
        self._network = []
        self.left = {}


@attrs.define
class Operator:
    """Proposes changes, and notes which of them a leader has acknowledged."""

    hosts: ReplacedHosts
    acknowledged: list[bytes] = attrs.Factory(list)
    number: int = 0

    def propose(self, *, seconds: float) -> bool:
        """Return whether the next change is acknowledged in that time."""
        group = self.hosts.group
        leader = group.leader()
        self.number += 1
        command = b"change %d" % self.number
        try:
            index = group.propose(leader, command)
        except (NotLeader, KeyError):
            self.hosts.run(seconds)
            return False
        replica = group.replicas[leader]
        term = replica.term
        self.hosts.run(seconds)
        applied = [(e.index, e.term, e.command) for e in group.applied[leader]]
        if (index, term, command) in applied:
            self.acknowledged.append(command)
            return True
        return False

    def check(self) -> None:
        """Check that the leader's log has everything that was acknowledged."""
        group = self.hosts.group
        log = group.replicas[group.leader()].log
        kept = {e.command for e in log.slice(log.first_index, limit=100_000)}
        assert set(self.acknowledged) <= kept


def hosts_that_lose_disks(hosts: ReplacedHosts) -> list[HostSlot]:
    """Return as many random hosts as may lose their disks, often the leader."""
    slots = list(hosts.slots)
    hosts.random.shuffle(slots)
    if hosts.random.random() < 0.5:
        leader = hosts.group.leader()
        slots.sort(key=lambda slot: slot.identity != leader)
    chosen: list[HostSlot] = []
    for slot in slots:
        if hosts.limits.allow([other.place for other in (*chosen, slot)]):
            chosen.append(slot)
    return chosen


def lose_power_and_disks(hosts: ReplacedHosts, operator: Operator) -> None:
    """Interrupt all hosts within some effects of each other; bring all back."""
    random = hosts.random
    wiped = hosts_that_lose_disks(hosts)
    hosts.group.left = {
        slot.identity: random.randrange(12) for slot in hosts.slots if slot.is_up
    }
    for _ in range(2):
        operator.propose(seconds=0.05)
    hosts.group.lose_power()
    for slot in hosts.slots:
        slot.is_up = False
    waiting = list(hosts.slots)
    random.shuffle(waiting)
    for slot in waiting:
        hosts.run(random.choice((0.0, 0.1, 0.6)))
        hosts.bring_back(slot, replaced=False, wiped=slot in wiped)


@pytest.mark.parametrize("name", INSTALLATIONS)
@pytest.mark.parametrize("seed", range(25))
def test_disks_that_are_lost_as_all_power_is_lose_nothing_that_was_acknowledged(
    name, seed
):
    """Guards against CONFIG and LOST: the lost disks may be those with the commit."""
    places, limits = INSTALLATIONS[name]
    with mock.patch("tests.replaced_hosts.Group", InterruptedGroup):
        hosts = ReplacedHosts(
            seed=seed, places=places, limits=limits, catch_up_seconds=CATCH_UP_SECONDS
        )
    operator = Operator(hosts=hosts)
    for _ in range(ROUNDS):
        for _ in range(3):
            operator.propose(seconds=0.3)
        lose_power_and_disks(hosts, operator)
        assert hosts.accepts_a_change(within=RECOVERY_SECONDS)
        operator.check()
        hosts.run(CATCH_UP_SECONDS + hosts.random.choice((0.1, 2.0)))
    assert len(operator.acknowledged) >= 2 * ROUNDS
