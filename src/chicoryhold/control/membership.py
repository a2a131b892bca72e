"""Decides which replicas vote: the one rule by which the members of a group change.

Those vote that reply, up to a limit, spread over regions and failure domains. A silent
voter becomes a learner: to count it on would make the group bear no loss more, and when
it returns it votes again. No change lowers the number of losses that the group bears:

- Removing a silent voter needs no more replies than before.
- Adding a voter to an even number needs no more replies than before, even if the new
  voter is lost at once. To an odd number, one is added only if a loss is borne.

Membership changes one voter at a time (Ongaro's dissertation, section 4.3).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable

import attrs

from chicoryhold.consensus.messages import Members

DEFAULT_TOLERATED_LOSSES = 2
MIN_VOTERS = 3  # with fewer, nothing is gained by removing a lost one


@attrs.frozen(kw_only=True)
class Place:
    """Where a replica runs. ``None`` if it isn't known."""

    region: str | None = None
    domain: str | None = None


UNKNOWN_PLACE = Place()


@attrs.frozen(kw_only=True)
class MemberStates:
    """What the leader knows of the replicas.

    ``joining`` are identities that ask to be members, the newest of each process.
    ``silent`` are members that haven't replied for some heartbeats, ``forgotten`` those
    that are unlikely to return. ``caught_up`` returns whether a replica has nearly the
    whole log.
    """

    leader: str = ""
    joining: Collection[str] = ()
    silent: Collection[str] = ()
    forgotten: Collection[str] = ()
    caught_up: Callable[[str], bool] = lambda identity: True
    place_of: Callable[[str], Place] = lambda identity: UNKNOWN_PLACE


def next_members(
    members: Members, states: MemberStates,
    *, tolerated_losses: int = DEFAULT_TOLERATED_LOSSES,
) -> Members | None:  # fmt: skip
    """Return the membership after the next single change, or ``None`` if none is due.

    The group has as many voters as it needs to bear ``tolerated_losses`` at once.

    A new identity becomes a learner, and a voter once it has caught up and is needed.
    A voter that is no longer needed becomes a learner, as it may return.
    """
    with_learners = _with_new_learners(members, states)
    if with_learners is not None:
        return with_learners
    target = _target_voters(members, states, tolerated_losses)
    surplus = [v for v in members.voters if v not in target]
    missing = [t for t in target if t not in members.voters]
    lost = [v for v in surplus if _is_lost(v, members, states)]
    if lost:
        return _without_voter(members, lost[0])
    if surplus and len(members.voters) > len(target):
        return _without_voter(members, surplus[-1])
    if missing:
        return _with_voter(members, missing[0], states)
    return _without_forgotten_learners(members, states)


def _target_voters(
    members: Members, states: MemberStates, tolerated_losses: int
) -> tuple[str, ...]:
    """Return the voters that the group should have.

    They are the replicas that reply, and lost voters only where too few do. If there
    are enough elsewhere, no region and no failure domain gets more of them than the
    group can lose.
    """
    replying = _replying(members, states)
    lost = [v for v in members.voters if _is_lost(v, members, states)]
    fill = max(0, MIN_VOTERS - len(replying))
    return (*_spread(replying, members, states, tolerated_losses), *lost[:fill])


def _replying(members: Members, states: MemberStates) -> tuple[str, ...]:
    """Return the voters that reply, and the learners that do and have caught up."""
    voters = [v for v in members.voters if not _is_lost(v, members, states)]
    learners = [
        identity
        for identity in members.learners
        if identity not in states.silent and states.caught_up(identity)
    ]
    return (*voters, *learners)


def _spread(
    candidates: tuple[str, ...], members: Members, states: MemberStates,
    tolerated_losses: int,
) -> tuple[str, ...]:  # fmt: skip
    """Return as many candidates as are needed, the leader among them."""
    count = min(len(candidates), max(MIN_VOTERS, 2 * tolerated_losses + 1))
    bearable = (count - 1) // 2
    regions: Counter[str] = Counter()
    domains: Counter[str] = Counter()

    def is_crowded(identity: str) -> tuple[bool, bool]:
        place = states.place_of(identity)
        return (
            place.region is not None and regions[place.region] >= bearable,
            place.domain is not None and domains[place.domain] >= bearable,
        )

    def preference(identity: str) -> tuple:
        place = states.place_of(identity)
        return (
            identity != states.leader,
            is_crowded(identity),
            identity not in members.voters,
            regions[place.region],
            domains[place.domain],
        )

    chosen: list[str] = []
    crowded: list[str] = []
    while len(chosen) < count:
        best = min((c for c in candidates if c not in chosen), key=preference)
        if any(is_crowded(best)):
            crowded.append(best)
        chosen.append(best)
        place = states.place_of(best)
        regions[place.region] += 1
        domains[place.domain] += 1
    is_even = count % 2 == 0 and count > MIN_VOTERS
    if is_even and crowded == chosen[-1:] and bearable >= tolerated_losses:
        # Without it, the group bears as much, and the loss of any one region.
        chosen.pop()
    return tuple(chosen)


def _is_lost(identity: str, members: Members, states: MemberStates) -> bool:
    """Whether a member is silent, or its process has lost this replica's disk."""
    return identity in states.silent or _is_replaced(
        identity, members.learners, members
    )


def _is_replaced(identity: str, learners: Iterable[str], members: Members) -> bool:
    """Whether the process of a voter runs a newer replica that is a member."""
    if identity not in members.voters:
        return False
    position = members.voters.index(identity)
    newer = (*members.voters[position + 1 :], *learners)
    return any(_same_process(identity, other) for other in newer)


def _with_new_learners(members: Members, states: MemberStates) -> Members | None:
    """Add those that ask to join, in place of older replicas of their processes."""
    joining = [i for i in states.joining if i not in members.identities]
    if not joining:
        return None
    kept = [
        learner
        for learner in members.learners
        if not any(_same_process(learner, new) for new in joining)
    ]
    return Members(voters=members.voters, learners=(*kept, *joining))


def _with_voter(
    members: Members, identity: str, states: MemberStates
) -> Members | None:
    """Add a voter; first remove a silent one if no loss is borne at present."""
    replies = [v for v in members.voters if not _is_lost(v, members, states)]
    bears_a_loss = len(replies) > members.majority
    is_even = len(members.voters) % 2 == 0
    lost = [v for v in members.voters if v not in replies]
    if lost and not (is_even or bears_a_loss):
        return _without_voter(members, lost[0])
    learners = tuple(i for i in members.learners if i != identity)
    return Members(voters=(*members.voters, identity), learners=learners)


def _without_voter(members: Members, identity: str) -> Members:
    """Make a voter a learner, or remove it if its process has a newer replica."""
    voters = tuple(v for v in members.voters if v != identity)
    if _is_replaced(identity, members.learners, members):
        return Members(voters=voters, learners=members.learners)
    return Members(voters=voters, learners=(*members.learners, identity))


def _without_forgotten_learners(
    members: Members, states: MemberStates
) -> Members | None:
    learners = tuple(i for i in members.learners if i not in states.forgotten)
    if len(learners) == len(members.learners):
        return None
    return Members(voters=members.voters, learners=learners)


def _same_process(first: str, second: str) -> bool:
    return first.rpartition(".")[0] == second.rpartition(".")[0]
