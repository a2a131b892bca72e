"""What a leader knows of the members of its group."""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from chicoryhold.consensus.messages import Members


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
    ``silent`` are members that haven't replied for some heartbeats, the one that has
    been silent for the longest time first, ``forgotten`` those that are unlikely to
    return. ``caught_up`` returns whether a replica has nearly the whole log,
    ``is_watched`` whether a replica has been a member for so long that one which it
    stands for would have been found silent.
    """

    leader: str = ""
    joining: Collection[str] = ()
    silent: Collection[str] = ()
    forgotten: Collection[str] = ()
    caught_up: Callable[[str], bool] = lambda identity: True
    is_watched: Callable[[str], bool] = lambda identity: True
    place_of: Callable[[str], Place] = lambda identity: UNKNOWN_PLACE


def is_replaced(identity: str, members: Members) -> bool:
    """Whether the process of a voter runs a newer replica that is a member."""
    if identity not in members.voters:
        return False
    position = members.voters.index(identity)
    newer = (*members.voters[position + 1 :], *members.learners)
    return any(same_process(identity, other) for other in newer)


def same_process(first: str, second: str) -> bool:
    return first.rpartition(".")[0] == second.rpartition(".")[0]
