"""Which control replicas vote, while hosts are lost, return and are replaced."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from random import Random

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from chicoryhold.consensus.messages import Members
from chicoryhold.control.member_states import MemberStates, Place
from chicoryhold.control.membership import next_members
from tests.group_model import GroupState, Limits
from tests.replaced_hosts import ReplacedHosts

CATCH_UP_SECONDS = 4.0
MAX_STATES = 2_000  # of a walk that would have too many
WANDERINGS, WANDERED_STEPS = 50, 60
RECOVERY_SECONDS = 15.0
ELECTION_SECONDS = 6.0  # with a second one after a split vote


def next_step(members: Members, joining: list[str], **fields: object) -> Members | None:
    states = MemberStates(joining=joining, **fields)
    return next_members(members, states, tolerated_losses=1)


def settled(members: Members, **fields: object) -> Members:
    """Return the membership when no change is due any more."""
    for _ in range(20):
        changed = next_step(members, [], **fields)
        if changed is None:
            return members
        assert len(set(changed.voters) ^ set(members.voters)) <= 1
        members = changed
    raise AssertionError(f"the membership goes on changing: {members}")


def regions(*counts: int) -> tuple[Place, ...]:
    """Return the places of control hosts, one domain each, for the count a region."""
    places = [
        Place(region=f"r{region}", domain=f"r{region}-{number}")
        for number in range(max(counts))
        for region, count in enumerate(counts)
        if number < count
    ]
    return tuple(places)


def test_a_replica_beyond_the_voter_limit_stays_a_learner():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    settled = next_step(members, ["d.1"])
    assert settled == attrs.evolve(members, settled=("d.1",))
    assert next_step(settled, ["d.1"]) is None


def test_a_newcomer_takes_the_place_of_a_silent_voter():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    reduced = next_step(members, ["d.1"], silent=("b.1",))
    assert reduced == Members(
        voters=("a.1", "c.1"), learners=("d.1", "b.1"), settled=("d.1",)
    )
    replaced = next_step(reduced, [], silent=("b.1",))
    assert replaced == Members(voters=("a.1", "c.1", "d.1"), learners=("b.1",))
    assert next_step(replaced, [], silent=("b.1",)) is None


def test_a_replica_that_lost_its_disk_replaces_its_former_identity():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("b.2",))
    reduced = next_step(members, ["b.2"])
    assert reduced == Members(voters=("a.1", "c.1"), learners=("b.2",))
    assert next_step(reduced, []) == Members(voters=("a.1", "c.1", "b.2"))


def test_a_voter_that_lost_its_disk_stays_until_its_successor_has_caught_up():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("b.2",))
    assert next_step(members, ["b.2"], caught_up=lambda identity: False) is None


def test_a_silent_voter_stays_while_nobody_can_take_its_place():
    members = Members(voters=("a.1", "b.1", "c.1"))
    assert next_step(members, [], silent=("b.1",)) is None
    assert next_step(members, [], silent=("b.1",), forgotten=("b.1",)) is None


def test_of_four_voters_a_silent_one_keeps_its_vote():
    """Guards against CONFIG: it was left out, and its disk was missed later."""
    members = Members(voters=("a.1", "b.1", "c.1", "d.1"))
    assert next_members(members, MemberStates(silent=("d.1",))) is None


def test_absent_voters_of_five_keep_their_votes():
    """Guards against CONFIG: of three voters, two lost their disks meanwhile."""
    members = Members(
        voters=("a.1", "b.1", "c.1", "d.1", "e.1"),
        learners=("f.1",),
        settled=("f.1",),
    )
    absent = MemberStates(silent=("b.1", "d.1"), forgotten=("b.1", "d.1"))
    assert next_members(members, absent) is None


def test_of_two_silent_voters_the_one_in_the_domain_of_a_newcomer_leaves():
    members = Members(voters=("a.1", "b.1", "c.1", "d.1", "e.1"), learners=("f.1",))
    places = {name: Place(domain=name[0]) for name in members.voters}
    places["f.1"] = places["b.1"]
    states = MemberStates(silent=("b.1", "d.1"), place_of=lambda name: places[name])
    for _ in range(2):
        members = next_members(members, states)
    assert set(members.voters) == {"a.1", "c.1", "d.1", "e.1", "f.1"}
    assert next_members(members, states) is None


def test_of_two_silent_voters_the_last_one_before_a_newcomer_leaves():
    members = Members(voters=("a.1", "b.1", "c.1", "d.1", "e.1"), learners=("f.1",))
    states = MemberStates(silent=("d.1", "b.1"))
    for _ in range(2):
        members = next_members(members, states)
    assert set(members.voters) == {"a.1", "c.1", "d.1", "e.1", "f.1"}


def test_a_newcomer_waits_until_a_lost_voter_would_have_been_found_silent():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    assert next_step(members, [], is_watched=lambda identity: False) is None


def test_a_voter_that_was_taken_for_lost_counts_when_it_replies():
    members = Members(
        voters=("a.1", "b.1", "c.1"),
        learners=("d.1",),
        settled=("d.1",),
        lost=("b.1",),
    )
    assert next_step(members, []) == attrs.evolve(members, lost=())


def test_learners_that_do_not_return_are_forgotten():
    members = Members(voters=("a.1", "c.1", "e.1"), learners=("b.1", "d.1"))
    states = MemberStates(silent=("b.1", "d.1"), forgotten=("d.1",))
    assert next_members(members, states) == Members(
        voters=members.voters, learners=("b.1",)
    )


def test_two_replicas_that_join_at_once_become_learners_in_one_change():
    members = Members(voters=("a.1", "b.1", "c.1"))
    after = next_step(members, ["d.1", "e.1"])
    assert after == Members(voters=members.voters, learners=("d.1", "e.1"))


def test_a_silent_voter_leaves_first_where_a_lost_newcomer_would_end_the_group():
    """With one of three silent, four voters would need the newcomer's reply."""
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    after = next_step(members, [], silent=("b.1",))
    assert set(after.voters) == {"a.1", "c.1"}


def test_no_region_has_three_voters_of_five_when_another_one_has_returned():
    """Guards against CONFIG: three voters in one region, which is lost next."""
    names = tuple(f"{region}{number}.1" for number in "123" for region in "abc")
    places = dict(zip(names, regions(3, 3, 3), strict=True))

    def settle(members: Members, silent: tuple[str, ...]) -> Members:
        states = MemberStates(
            leader="c1.1", silent=silent, place_of=lambda name: places[name]
        )
        while (after := next_members(members, states)) is not None:
            members = after
        return members

    members = settle(Members(voters=names[:3], learners=names[3:]), ())
    # As the build before left it: any of the learners may be there in place of others.
    members = attrs.evolve(members, settled=())
    without_a = settle(members, ("a1.1", "a2.1", "a3.1"))
    assert len(without_a.voters) == 5
    assert not {name for name in without_a.voters if name.startswith("a")}
    after = settle(without_a, ())
    counts = Counter(name[0] for name in after.voters)
    assert sorted(counts.values()) == [1, 2, 2]


INSTALLATIONS = {
    "3": (regions(3), Limits(hosts=1)),
    "4": (regions(4), Limits(hosts=1)),
    "3 in 3": (regions(1, 1, 1), Limits(hosts=1, domains=1, regions=1)),
    "4 in 3": (regions(2, 1, 1), Limits(hosts=1, domains=1, regions=1)),
    "5": (regions(5), Limits(hosts=2)),
    "5 in 3": (regions(2, 2, 1), Limits(hosts=2, domains=1, regions=1)),
    "6 in 3": (regions(2, 2, 2), Limits(hosts=2, domains=1, regions=1)),
    "9 in 3": (regions(3, 3, 3), Limits(hosts=2, domains=1, regions=1)),
}
OVERLAPPING = {
    **INSTALLATIONS,
    "5 in 2": (regions(3, 2), Limits(hosts=2)),
    "6": (regions(6), Limits(hosts=2)),
    "6 in 2": (regions(3, 3), Limits(hosts=2)),
    "9": (regions(9), Limits(hosts=2)),
}


def walk(start: GroupState, *, states: int | None = None) -> Iterator[tuple]:
    """Yield the states that any order of events leads to, each with that order."""
    seen = {start.key}
    waiting = deque([(start, ())])
    while waiting and (states is None or len(seen) < states):
        state, history = waiting.popleft()
        yield state, history
        for event, following in state.successors():
            if following.key not in seen:
                seen.add(following.key)
                waiting.append((following, (*history, event)))


def wander(start: GroupState, *, seed: int, steps: int) -> Iterator[tuple]:
    """Yield the states of one order of events, each with what led to it.

    All kinds of events are equally likely, however few hosts can have them.
    """
    random = Random(seed)
    state, history = start, ()
    for _ in range(steps):
        yield state, history
        following = {}
        for event, after in state.successors():
            following.setdefault(event.lstrip("0123456789"), []).append((event, after))
        event, state = random.choice(following[random.choice(sorted(following))])
        history = (*history, event)


@pytest.mark.parametrize("name", INSTALLATIONS)
def test_no_order_of_losses_and_replacements_inside_the_limits_ends_the_group(name):
    """Guards against CONFIG: hosts replaced one after the other ended the group.

    Walks all states that any order of events can lead to.
    """
    places, limits = INSTALLATIONS[name]
    count = 0
    for state, history in walk(GroupState.founded(places, limits)):
        assert state.has_majority, (history, state.members)
        count += 1
    assert count > 10


@pytest.mark.parametrize("name", INSTALLATIONS)
def test_no_lost_disk_inside_the_limits_ends_the_group(name):
    """Guards against CONFIG: hosts that lose disks, alone and where one is replaced."""
    places, limits = INSTALLATIONS[name]
    start = GroupState.founded(places, limits, loses_disks=True)
    for state, history in walk(start, states=MAX_STATES):
        assert state.has_majority, (history, state.members)
    for seed in range(WANDERINGS):
        for state, history in wander(start, seed=seed, steps=WANDERED_STEPS):
            assert state.has_majority, (history, state.members)


@pytest.mark.parametrize("name", OVERLAPPING)
def test_a_short_absence_does_not_make_later_lost_disks_final(name):
    """Guards against CONFIG: voters left out that came back with their disks.

    Any host may be down at any time, but no more disks are lost than the limits allow.
    """
    places, limits = OVERLAPPING[name]
    start = GroupState.founded(places, limits, overlaps=True, loses_disks=True)
    for state, history in walk(start, states=MAX_STATES):
        assert state.can_lead_again, (history, state.members)
    for seed in range(WANDERINGS):
        for state, history in wander(start, seed=seed, steps=WANDERED_STEPS):
            assert state.can_lead_again, (history, state.members)


# Orders inside the limits by which four voters, one of them silent, became three.
LEFT_OUT = {
    "5": (
        "0 is lost", "0 is noticed", "1 is lost", "1 returns without its disk",
        "the membership changes", "the membership changes", "1 is lost again",
        "1 is noticed", "the membership changes", "0 returns with its disk",
        "2 is lost", "2 is noticed", "the membership changes", "3 is lost",
        "3 returns without its disk",
    ),
    "6": (
        "0 is lost", "0 is noticed", "1 is lost", "1 returns without its disk",
        "the membership changes", "the membership changes", "1 is lost again",
        "1 is noticed", "5 is lost", "5 is noticed", "the membership changes",
        "1 returns with its disk", "the membership changes", "1 is lost again",
        "1 returns without its disk", "2 is lost", "2 returns without its disk",
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", LEFT_OUT)
def test_an_absent_voter_of_four_does_not_make_two_lost_disks_final(name):
    """Guards against CONFIG: nobody led again with three of five disks, four of six."""
    places, limits = OVERLAPPING[name]
    state = GroupState.founded(places, limits, overlaps=True, loses_disks=True)
    for event in LEFT_OUT[name]:
        following = dict(state.successors())
        if event == "the membership changes" and event not in following:
            continue  # by this rule nothing is due there
        state = following[event]
        assert state.can_lead_again, (event, state.members)


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    installation=st.sampled_from(
        [
            (regions(3), Limits(hosts=1)),
            (regions(1, 1, 1), Limits(hosts=1, domains=1, regions=1)),
            (regions(2, 2, 2), Limits(hosts=2, domains=1, regions=1)),
            (regions(3, 3, 3), Limits(hosts=2, domains=1, regions=1)),
        ]
    ),
)
def test_the_group_bears_the_next_loss_as_soon_as_the_last_counts_no_more(
    seed, installation
):
    """Guards against CONFIG: lost voters replaced later than ``catch_up_s`` allows.

    Hosts are lost as early as the limits allow, and often those that vote.
    """
    places, limits = installation
    hosts = ReplacedHosts(
        seed=seed, places=places, limits=limits, catch_up_seconds=CATCH_UP_SECONDS
    )
    random = hosts.random
    for _ in range(8):
        losable = [slot for slot in hosts.slots if slot.is_up and hosts.may_lose(slot)]
        random.shuffle(losable)
        for slot in losable:
            if hosts.may_lose(slot):
                hosts.lose(slot)
        hosts.run(random.choice((0.0, 0.3, 1.0, 3.0)))
        for slot in hosts.slots:
            if not slot.is_up:
                hosts.bring_back(slot, replaced=random.random() < 0.7)
        hosts.run(CATCH_UP_SECONDS + random.choice((0.1, 1.0)))
    assert hosts.accepts_a_change(within=ELECTION_SECONDS)


@pytest.mark.parametrize("seed", range(10))
def test_hosts_that_were_down_lead_again_after_two_others_lost_their_disks(seed):
    """Guards against CONFIG: nobody led again although four of six disks were kept."""
    hosts = ReplacedHosts(
        seed=seed,
        places=regions(2, 2, 2),
        limits=Limits(hosts=2, domains=1, regions=1),
        catch_up_seconds=CATCH_UP_SECONDS,
    )
    leader = hosts.group.leader()
    others = [slot for slot in hosts.slots if slot.identity != leader]
    hosts.random.shuffle(others)
    down, wiped = others[:2], [others[2]]
    wiped += [slot for slot in hosts.slots if slot.identity == leader]
    for slot in down:
        hosts.lose(slot)
    hosts.run(5.0)
    assert hosts.accepts_a_change(within=ELECTION_SECONDS)
    for slot in wiped:
        hosts.lose(slot)
    hosts.run(1.0)
    for slot in wiped:
        hosts.bring_back(slot, replaced=False, wiped=True)
    hosts.run(1.0)
    for slot in down:
        hosts.bring_back(slot, replaced=False)
    assert hosts.accepts_a_change(within=RECOVERY_SECONDS)
