"""When a new replica has caught up, so that it may vote."""

from __future__ import annotations

import pytest

from chicoryhold.consensus.messages import AppendReply, Members
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.membership_keeper import MembershipKeeper
from chicoryhold.control.replica_policy import ReplicaPolicy
from tests.fakes import Group

VOTERS = ("c1.founder",)
LEARNER = "c2.1"
LONG_ENTRY_BYTES = 400_000
SHORT_ENTRY_BYTES = 100


@pytest.fixture
def group() -> Group:
    group = Group(seed=1, voters=VOTERS)
    leader = group.wait_for_leader()
    members = Members(voters=VOTERS, learners=(LEARNER,), settled=(LEARNER,))
    assert group.replicas[leader].propose_members(members)
    group.run(0.1)
    return group


def has_joined(group: Group, *, lacks: int) -> bool:
    """Whether the learner votes once its reply says that it lacks so many entries."""
    replica: Replica = group.replicas[VOTERS[0]]
    replica.receive(
        AppendReply(
            term=replica.term,
            follower=LEARNER,
            accepted=True,
            match=replica.commit_index - lacks,
            round=0,
        )
    )
    policy = ReplicaPolicy(tolerated_losses=1)
    MembershipKeeper(replica=replica, clock=group.clock, policy=policy).update()
    return LEARNER in replica.members.voters


@pytest.mark.parametrize(
    ("lacks", "size", "joins"),
    [
        (0, LONG_ENTRY_BYTES, True),
        (1, LONG_ENTRY_BYTES, True),
        (3, LONG_ENTRY_BYTES, True),
        (4, LONG_ENTRY_BYTES, False),
        (100, LONG_ENTRY_BYTES, False),
        (1, 4_000_000, True),
        (255, SHORT_ENTRY_BYTES, True),
        (256, SHORT_ENTRY_BYTES, False),
    ],
)
def test_a_replica_votes_only_once_it_lacks_no_more_than_is_sent_at_once(
    group, lacks, size, joins
):
    """Guards against CONFIG: one that lacked 255 long entries voted, and all waited."""
    for _ in range(lacks + 1):
        group.propose(VOTERS[0], bytes(size))
    assert has_joined(group, lacks=lacks) == joins


def test_a_replica_that_lacks_what_was_discarded_does_not_vote(group):
    for _ in range(10):
        group.propose(VOTERS[0], b"change")
    replica = group.replicas[VOTERS[0]]
    replica.compact(index=replica.commit_index, data=b"")
    assert not has_joined(group, lacks=2)
