"""Chooses membership changes that admit joining replicas and remove lost ones."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from chicoryhold.consensus.messages import Members


def next_members(
    members: Members, *, joining: Iterable[str], caught_up: Callable[[str], bool],
    voter_limit: int | None = None, silent: Collection[str] = (),
) -> Members | None:  # fmt: skip
    """Return the membership after the next single change, or ``None`` if none is due.

    A new identity becomes a learner, and a voter once it has caught up. Only then is
    the old identity with the same process name removed. Removing it first would leave
    two of three voters, and losing one of these would stop all changes.

    With a ``voter_limit``, further replicas stay learners. One of them replaces a
    voter that is in ``silent``.
    """
    for identity in joining:
        if identity in members.voters:
            continue
        if identity not in members.learners:
            others = tuple(i for i in members.learners if not _same_name(i, identity))
            return Members(voters=members.voters, learners=(*others, identity))
        if caught_up(identity) and _may_become_voter(
            members, identity, voter_limit, silent
        ):
            learners = tuple(i for i in members.learners if i != identity)
            return Members(voters=(*members.voters, identity), learners=learners)
    return _without_replaced(members) or _without_silent(members, voter_limit, silent)


def _may_become_voter(
    members: Members, identity: str, limit: int | None, silent: Collection[str]
) -> bool:
    """Return whether there is room for a voter, or ``identity`` replaces one.

    The replaced voter is removed afterwards, so the limit is exceeded by one until
    then.
    """
    if limit is None or len(members.voters) < limit:
        return True
    if len(members.voters) > limit:
        return False
    return any(_same_name(v, identity) or v in silent for v in members.voters)


def _without_silent(
    members: Members, limit: int | None, silent: Collection[str]
) -> Members | None:
    """Remove one silent voter if there are too many voters, else silent learners."""
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
    """Remove the oldest voter that has the same process name as a newer one."""
    for position, identity in enumerate(members.voters):
        newer = members.voters[position + 1 :]
        if any(_same_name(identity, other) for other in newer):
            voters = tuple(i for i in members.voters if i != identity)
            return Members(voters=voters, learners=members.learners)
    return None


def _same_name(first: str, second: str) -> bool:
    return first.rpartition(".")[0] == second.rpartition(".")[0]
