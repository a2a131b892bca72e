"""Which voters have lost their disks: whom newer replicas stand for.

A replica of the same process stands for its older ones. One of another process is a
newcomer, and stands for a member that was silent when it came: one of its own failure
domain, or the last that fell silent. Once that is known, the members say so.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.consensus.messages import Members
from chicoryhold.control.member_states import (
    MemberStates,
    is_replaced,
    same_process,
)


def has_lost_disk(voter: str, members: Members, states: MemberStates) -> bool:
    """Whether a voter can't come back with its disk, as far as that can be known."""
    if is_replaced(voter, members):
        return True
    return voter in members.lost and voter in states.silent


def with_replaced(members: Members, states: MemberStates, size: int) -> Members:
    """Note which members newcomers stand for, and which ones stand for nobody."""
    lost = [v for v in members.lost if not _has_returned(v, members, states)]
    learners = list(members.learners)
    settled = list(members.settled)
    newcomers = [n for n in _unsettled(members, states) if states.is_watched(n)]
    missed = _missed(members, states)
    if len(members.identities) - len(newcomers) >= size:  # else the group still grows
        for missing, newcomer in _match(newcomers, missed, states).items():
            settled.append(newcomer)
            if missing in learners:
                learners.remove(missing)
            else:
                lost.append(missing)
    if not missed:
        settled += newcomers
    return create_members(members.voters, learners, settled, lost)


def _has_returned(voter: str, members: Members, states: MemberStates) -> bool:
    """Whether a voter that was taken for lost replies."""
    if is_replaced(voter, members):
        return False
    return states.is_watched(voter) and voter not in states.silent


def _missed(members: Members, states: MemberStates) -> list[str]:
    """Return silent members that nobody is known to stand for.

    A silent newcomer isn't one: who comes after it stands for the same member.
    """
    return [
        m
        for m in states.silent
        if (m in members.voters and not has_lost_disk(m, members, states))
        or m in members.settled
    ]


def _match(
    newcomers: list[str], missed: list[str], states: MemberStates
) -> dict[str, str]:
    """Return who stands for whom: one of its domain, or the last that was missed."""
    matched: dict[str, str] = {}
    rest = []
    for newcomer in newcomers:
        domain = states.place_of(newcomer).domain
        near = [
            m
            for m in missed
            if m not in matched and domain and states.place_of(m).domain == domain
        ]
        if near:
            matched[near[-1]] = newcomer
        else:
            rest.append(newcomer)
    left = [m for m in missed if m not in matched]
    return {**matched, **dict(zip(reversed(left), rest, strict=False))}


def _unsettled(members: Members, states: MemberStates) -> list[str]:
    return [
        learner
        for learner in members.learners
        if learner not in members.settled
        and learner not in states.silent
        and not any(same_process(learner, voter) for voter in members.voters)
    ]


def create_members(
    voters: Iterable[str], learners: Iterable[str], settled: Iterable[str],
    lost: Iterable[str],
) -> Members:  # fmt: skip
    voters, learners = tuple(voters), tuple(learners)
    return Members(
        voters=voters,
        learners=learners,
        settled=tuple(i for i in dict.fromkeys(settled) if i in learners),
        lost=tuple(i for i in dict.fromkeys(lost) if i in voters),
    )
