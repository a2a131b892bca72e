"""Long entries on slow links between control hosts."""

from __future__ import annotations

from unittest import mock

import pytest

from chicoryhold.consensus.messages import Members
from chicoryhold.consensus.replica import Role
from tests.fakes import Group
from tests.linked_group import LinkedGroup
from tests.test_consensus import _Model, run_random_step

VOTERS = ("c1.founder", "c2.founder", "c3.founder")
SLOW_BYTES_PER_SECOND = 400_000.0
FAST_BYTES_PER_SECOND = 50_000_000.0
ENTRY_BYTES = 80_000
LARGEST_MESSAGE_BYTES = 200_000
MOST_WAITING_BYTES = 1_200_000
# A few of the model's short commands fill them.
SMALL_WINDOWS = {
    "MAX_REQUEST_BYTES": 20,
    "MIN_WINDOW_BYTES": 10,
    "INITIAL_WINDOW_BYTES": 20,
    "MAX_WINDOW_BYTES": 60,
}


def command(number: int) -> bytes:
    return number.to_bytes(4, "big") + bytes(ENTRY_BYTES)


def group_with_leader(*, bytes_per_second: float) -> tuple[LinkedGroup, str]:
    group = LinkedGroup(seed=1, voters=VOTERS, bytes_per_second=bytes_per_second)
    leader = group.wait_for_leader()
    group.run(1.0)
    return group, leader


def test_a_leader_that_sends_more_than_its_links_carry_stays_the_leader():
    """Guards against CONFIG: heartbeats waited behind long entries for seconds."""
    group, leader = group_with_leader(bytes_per_second=SLOW_BYTES_PER_SECOND)
    term = group.replicas[leader].term
    for number in range(60):
        group.propose(leader, command(number))
        group.run(0.05)
        assert group.replicas[leader].role is Role.LEADER, f"change {number}"
    group.run(1.5 * 60 * ENTRY_BYTES / SLOW_BYTES_PER_SECOND)
    assert {replica.term for replica in group.replicas.values()} == {term}
    for applied in group.applied.values():
        commands = [entry.command for entry in applied if entry.command]
        assert commands == [command(number) for number in range(60)]


def test_a_replica_that_lacks_much_gets_it_in_parts():
    """Guards against CONFIG: the whole log in one message ended control hosts."""
    group, leader = group_with_leader(bytes_per_second=FAST_BYTES_PER_SECOND)
    behind = next(name for name in VOTERS if name != leader)
    group.partitioned = {behind}
    for number in range(100):
        group.propose(leader, command(number))
        group.run(0.05)
    group.partitioned = set()
    most = 0
    for _ in range(100):
        group.run(0.05)
        most = max(most, group.waiting_bytes(behind))
    assert len([e for e in group.applied[behind] if e.command]) == 100
    assert group.largest_message <= LARGEST_MESSAGE_BYTES
    assert most <= MOST_WAITING_BYTES


@pytest.mark.parametrize("gap", [0.1, 0.4])
def test_entries_that_were_lost_on_the_way_are_sent_again(gap):
    group, leader = group_with_leader(bytes_per_second=SLOW_BYTES_PER_SECOND)
    behind = next(name for name in VOTERS if name != leader)
    for number in range(30):
        group.propose(leader, command(number))
        group.run(gap)
        if number % 7 == 0:
            group.reset = {behind}
    group.run(30 * ENTRY_BYTES / SLOW_BYTES_PER_SECOND + 5.0)
    assert len([e for e in group.applied[behind] if e.command]) == 30


def test_rejections_of_earlier_messages_do_not_multiply_what_is_sent():
    group, leader = group_with_leader(bytes_per_second=SLOW_BYTES_PER_SECOND)
    behind = next(name for name in VOTERS if name != leader)
    group.partitioned = {behind}
    for number in range(20):
        group.propose(leader, command(number))
        group.run(0.3)
    group.partitioned = set()
    group.sent_bytes = 0
    group.run(20 * ENTRY_BYTES / SLOW_BYTES_PER_SECOND + 3.0)
    assert len([e for e in group.applied[behind] if e.command]) == 20
    assert group.sent_bytes <= 1.3 * 20 * ENTRY_BYTES


def test_a_snapshot_is_sent_once_while_it_is_on_its_way():
    group, leader = group_with_leader(bytes_per_second=SLOW_BYTES_PER_SECOND)
    behind = next(name for name in VOTERS if name != leader)
    group.partitioned = {behind}
    for number in range(5):
        group.propose(leader, command(number))
        group.run(0.5)
    replica = group.replicas[leader]
    snapshot = replica.compact(index=replica.commit_index, data=bytes(800_000))
    group.disks[leader].log.compact(snapshot)
    group.partitioned = set()
    group.sent_bytes = 0
    group.run(5.0)
    assert group.replicas[behind].commit_index == replica.commit_index
    assert group.sent_bytes <= 1.3 * len(snapshot.data)


def test_a_follower_hears_its_leader_while_it_gets_more_than_its_link_carries():
    group, leader = group_with_leader(bytes_per_second=SLOW_BYTES_PER_SECOND)
    others = [name for name in VOTERS if name != leader]
    longest = 0.0
    for number in range(60):
        group.propose(leader, command(number))
        for _ in range(4):
            group.run(0.05)
            unheard = [group.replicas[name].unheard_seconds for name in others]
            longest = max(longest, *unheard)
    assert longest < group.timing.election


@pytest.mark.parametrize("loss_probability", [0, 0.2])
@pytest.mark.parametrize("seed", range(40))
def test_small_windows_lose_no_change_and_leave_no_replica_behind(
    seed, loss_probability
):
    with mock.patch.multiple("chicoryhold.consensus.in_flight", **SMALL_WINDOWS):
        group = Group(seed=seed, voters=VOTERS)
        model = _Model(group)
        group.loss_probability = loss_probability
        for _ in range(150):
            run_random_step(group, model)
            model.check_order()
        restore(group)
        group.wait_for_leader()
        group.run(8.0)
        model.record_acknowledged()
        model.check()
        assert len({each.commit_index for each in group.replicas.values()}) == 1


def restore(group: Group) -> None:
    group.loss_probability = 0
    group.partitioned = set()
    group.inbound_blocked = set()
    for name in VOTERS:
        if name not in group.replicas:
            group.start(name, founders=Members(voters=VOTERS))
