"""Which change of membership brings a replaced replica back as a voter."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from chicoryhold.consensus.messages import Members


def next_members(
    members: Members, *, joining: Iterable[str], caught_up: Callable[[str], bool],
    voter_limit: int | None = None, silent: Collection[str] = (),
) -> Members | None:  # fmt: skip
    """Return the next single-step membership, or ``None`` when nothing is to do.

    A new identity becomes a learner, then a voter once it has caught up; only then
    is the lost identity of the same name removed. Removing it first would leave two
    voters, where the loss of either stops all changes.

    With a ``voter_limit`` the others stay learners, one of which takes the place of
    a voter in ``silent``.
    """
    for identity in joining:
        if identity in members.voters:
            continue
        if identity not in members.learners:
            others = tuple(i for i in members.learners if not _same_name(i, identity))
            return Members(voters=members.voters, learners=(*others, identity))
        if caught_up(identity) and _has_seat(members, identity, voter_limit, silent):
            learners = tuple(i for i in members.learners if i != identity)
            return Members(voters=(*members.voters, identity), learners=learners)
    return _without_replaced(members) or _without_silent(members, voter_limit, silent)


def _has_seat(
    members: Members, identity: str, limit: int | None, silent: Collection[str]
) -> bool:
    if limit is None or len(members.voters) < limit:
        return True
    if len(members.voters) > limit:
        return False
    return any(_same_name(v, identity) or v in silent for v in members.voters)


def _without_silent(
    members: Members, limit: int | None, silent: Collection[str]
) -> Members | None:
    """Remove one silent voter that a learner has replaced, or a silent learner."""
    if limit is None:
        return None
    if len(members.voters) > limit:
        for identity in members.voters:
            if identity in silent:
                voters = tuple(i for i in members.voters if i != identity)
                return Members(voters=voters, learners=members.learners)
    learners = tuple(i for i in members.learners if i not in silent)
    if len(learners) < len(members.learners):
        return Members(voters=members.voters, learners=learners)
    return None


def _without_replaced(members: Members) -> Members | None:
    """Remove the oldest voter that shares its name with a newer one."""
    for position, identity in enumerate(members.voters):
        newer = members.voters[position + 1 :]
        if any(_same_name(identity, other) for other in newer):
            voters = tuple(i for i in members.voters if i != identity)
            return Members(voters=voters, learners=members.learners)
    return None


def _same_name(first: str, second: str) -> bool:
    return first.rpartition(".")[0] == second.rpartition(".")[0]
