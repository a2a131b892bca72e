"""Which change of membership brings a replaced replica back as a voter."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from chicoryhold.consensus.messages import Members


def next_members(
    members: Members, *, joining: Iterable[str], caught_up: Callable[[str], bool]
) -> Members | None:
    """Return the next single-step membership, or ``None`` when nothing is to do.

    A new identity becomes a learner, then a voter once it has caught up; only then
    is the lost identity of the same name removed. Removing it first would leave two
    voters, where the loss of either stops all changes.
    """
    for identity in joining:
        if identity in members.voters:
            continue
        if identity not in members.learners:
            others = tuple(i for i in members.learners if not _same_name(i, identity))
            return Members(voters=members.voters, learners=(*others, identity))
        if caught_up(identity):
            learners = tuple(i for i in members.learners if i != identity)
            return Members(voters=(*members.voters, identity), learners=learners)
    return _without_replaced(members)


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
