"""Decides which replicas vote: the one rule by which the members of a group change.

The newest commit is on the disks of a majority of the voters, and nobody knows which
ones. Once all hosts are back, a majority of the voters has to have its disks, whichever
``tolerated_losses`` disks are lost. So a voter that could come back with its disk keeps
its vote, however few reply:

- A voter whose process runs a newer replica has lost its disk.
- A silent voter is replaced if a replica has joined that stands for nobody else.
- Any other silent voter may come back, and keeps its vote. Leaving it out of an even
  number costs no reply at that moment, but a newcomer that is then lost together with
  another disk would leave too few of those that are whole.

Those vote that reply, up to a limit, spread over regions and failure domains. No change
lowers the number of losses that the group bears:

- Removing a voter of an even number needs no more replies than before.
- Adding a voter to an even number needs no more replies than before, even if the new
  voter is lost at once. To an odd number, one is added only if a loss is borne.
- A voter that has lost its disk is removed before its successor is added: both are one
  loss. For any other, the successor is added first.

Membership changes one voter at a time (Ongaro's dissertation, section 4.3).
"""

from __future__ import annotations

from collections import Counter

from chicoryhold.consensus.messages import Members
from chicoryhold.control.member_states import MemberStates, is_replaced, same_process
from chicoryhold.control.replaced_members import (
    create_members,
    has_lost_disk,
    with_replaced,
)

DEFAULT_TOLERATED_LOSSES = 2
MIN_VOTERS = 3  # with fewer, nothing is gained by removing a lost one


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
    size = max(MIN_VOTERS, 2 * tolerated_losses + 1)
    resolved = with_replaced(members, states, size)
    changed = _with_next_voters(resolved, states, tolerated_losses)
    if changed is None and resolved != members:
        return resolved
    return changed or _without_forgotten_learners(members, states)


def _with_next_voters(
    members: Members, states: MemberStates, tolerated_losses: int
) -> Members | None:
    target = _target_voters(members, states, tolerated_losses)
    surplus = [v for v in members.voters if v not in target]
    missing = [t for t in target if t not in members.voters]
    lost = [v for v in surplus if _is_lost(v, members, states)]
    lost.sort(key=lambda voter: not has_lost_disk(voter, members, states))
    is_even = len(members.voters) % 2 == 0
    if lost and (is_even or not missing or has_lost_disk(lost[0], members, states)):
        return _without_voter(members, lost[0], states)
    if surplus and len(members.voters) > len(target):
        return _without_voter(members, surplus[-1], states)
    if missing:
        return _with_voter(members, missing[0], states)
    return None


def _target_voters(
    members: Members, states: MemberStates, tolerated_losses: int
) -> tuple[str, ...]:
    """Return the voters that the group should have.

    They are the voters that may come back, replicas that reply, and lost voters only
    where too few do. If there are enough elsewhere, no region and no failure domain
    gets more of them than the group can lose.
    """
    size = max(MIN_VOTERS, 2 * tolerated_losses + 1)
    replying = _replying(members, states)
    absent, lost = [], []
    for voter in members.voters:
        if has_lost_disk(voter, members, states):
            lost.append(voter)
        elif voter in states.silent:
            absent.append(voter)
    absent = absent[: (size - 1) // 2]  # those that reply are a majority
    chosen = _spread(replying, tuple(absent), members, states, tolerated_losses)
    kept = lost[: max(0, size - len(chosen) - len(absent))]
    if (len(chosen) + len(absent) + len(kept)) % 2 == 0:
        kept = kept[:-1]
    return (*chosen, *absent, *kept)


def _replying(members: Members, states: MemberStates) -> tuple[str, ...]:
    """Return the voters that reply, and the learners that do and have caught up."""
    voters = [v for v in members.voters if not _is_lost(v, members, states)]
    learners = [
        identity
        for identity in members.learners
        if identity not in states.silent
        and states.caught_up(identity)
        and (identity in members.settled or states.is_watched(identity))
    ]
    return (*voters, *learners)


def _spread(
    candidates: tuple[str, ...], absent: tuple[str, ...], members: Members,
    states: MemberStates, tolerated_losses: int,
) -> tuple[str, ...]:  # fmt: skip
    """Return as many candidates as are needed beside ``absent``, the leader first."""
    size = max(MIN_VOTERS, 2 * tolerated_losses + 1)
    count = min(len(candidates), size - len(absent))
    total = count + len(absent)
    bearable = (total - 1) // 2
    regions: Counter[str] = Counter(states.place_of(a).region for a in absent)
    domains: Counter[str] = Counter(states.place_of(a).domain for a in absent)

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
    is_even = total % 2 == 0 and total > MIN_VOTERS
    if is_even and crowded == chosen[-1:] and bearable >= tolerated_losses:
        # Without it, the group bears as much, and the loss of any one region.
        chosen.pop()
    return tuple(chosen)


def _is_lost(identity: str, members: Members, states: MemberStates) -> bool:
    """Whether a member is silent, or its process has lost this replica's disk."""
    return identity in states.silent or is_replaced(identity, members)


def _with_new_learners(members: Members, states: MemberStates) -> Members | None:
    """Add those that ask to join, in place of older replicas of their processes."""
    joining = [i for i in states.joining if i not in members.identities]
    if not joining:
        return None
    kept = [
        learner
        for learner in members.learners
        if not any(same_process(learner, new) for new in joining)
    ]
    known = (*members.voters, *members.settled)
    settled = [n for n in joining if any(same_process(n, other) for other in known)]
    lost = [v for v in members.voters if any(same_process(v, n) for n in joining)]
    return create_members(
        members.voters,
        (*kept, *joining),
        (*members.settled, *settled),
        (*members.lost, *lost),
    )


def _with_voter(
    members: Members, identity: str, states: MemberStates
) -> Members | None:
    """Add a voter; first remove a lost one if no loss is borne at present."""
    replies = [v for v in members.voters if not _is_lost(v, members, states)]
    bears_a_loss = len(replies) > members.majority
    is_even = len(members.voters) % 2 == 0
    is_settled = identity in members.settled
    lost = [
        v
        for v in members.voters
        if has_lost_disk(v, members, states) or (v in states.silent and not is_settled)
    ]
    if lost and not (is_even or bears_a_loss):
        return _without_voter(members, lost[0], states)
    learners = tuple(i for i in members.learners if i != identity)
    return create_members(
        (*members.voters, identity), learners, members.settled, members.lost
    )


def _without_voter(members: Members, identity: str, states: MemberStates) -> Members:
    """Make a voter a learner, or remove it if its process has a newer replica."""
    voters = tuple(v for v in members.voters if v != identity)
    if is_replaced(identity, members):
        return create_members(voters, members.learners, members.settled, members.lost)
    settled = members.settled
    if identity not in states.silent:
        settled = (*settled, identity)
    return create_members(voters, (*members.learners, identity), settled, members.lost)


def _without_forgotten_learners(
    members: Members, states: MemberStates
) -> Members | None:
    learners = tuple(i for i in members.learners if i not in states.forgotten)
    if len(learners) == len(members.learners):
        return None
    return create_members(members.voters, learners, members.settled, members.lost)
