"""A model of a group whose control hosts are lost, return and are replaced.

It knows no time but its order: what the settings bound by ``catch_up_s`` is that a host
counts as lost until it is back and the membership has nothing left to change.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from chicoryhold.consensus.messages import Members
from chicoryhold.control.membership import (
    MemberStates,
    Place,
    next_members,
)

UP, DOWN, BACK = "up", "down", "back"  # BACK: it runs, and still counts as lost


@attrs.frozen(kw_only=True)
class Slot:
    """The place of one control host, and the process that runs there now.

    ``number`` counts the identities that the slot has had. ``noticed`` is whether the
    leader has found the process silent.
    """

    place: Place
    number: int = 0
    status: str = UP
    noticed: bool = False


@attrs.frozen(kw_only=True)
class Limits:
    """What may be lost at once: so many hosts, or one domain, or one region."""

    hosts: int
    domains: int = 0
    regions: int = 0

    def allow(self, places: list[Place]) -> bool:
        domains = {place.domain for place in places}
        regions = {place.region for place in places}
        return (
            len(places) <= self.hosts
            or len(domains) <= self.domains
            or len(regions) <= self.regions
        )


@attrs.frozen(kw_only=True)
class GroupState:
    """A state of the group; every event leads to another one."""

    slots: tuple[Slot, ...]
    members: Members
    limits: Limits

    @classmethod
    def founded(cls, places: tuple[Place, ...], limits: Limits) -> GroupState:
        """Return a group of three founding voters that the others have joined."""
        slots = tuple(Slot(place=place) for place in places)
        founders = tuple(f"h{number}.0" for number in range(min(3, len(places))))
        state = cls(slots=slots, members=Members(voters=founders), limits=limits)
        while (step := state.next_step()) is not None:
            state = step
        return state

    @property
    def key(self) -> tuple:
        """What matters of the state: not which of the hosts of a region it is."""
        regions: dict[str | None, list[tuple]] = {}
        for index, slot in enumerate(self.slots):
            regions.setdefault(slot.place.region, []).append(self._key_of(index))
        return tuple(sorted(tuple(sorted(hosts)) for hosts in regions.values()))

    @property
    def replying_voters(self) -> list[str]:
        return [v for v in self.members.voters if self._runs(v)]

    @property
    def has_majority(self) -> bool:
        return len(self.replying_voters) >= self.members.majority

    def successors(self) -> Iterator[tuple[str, GroupState]]:
        """Return all that may happen next, inside the limits."""
        step = self.next_step()
        if step is not None:
            yield "the membership changes", step
        for index, slot in enumerate(self.slots):
            if slot.status == DOWN:
                yield from self._after_loss(index, slot)
            elif slot.status == UP and self._may_lose(index):
                yield f"{index} is lost", self._lose(index)
            elif slot.status == BACK:
                yield f"{index} is lost again", self._lose(index)
                if step is None and not self._has_unnoticed():
                    yield f"{index} counts no more", self._with(index, status=UP)

    def next_step(self) -> GroupState | None:
        """Return the state after the next change of the membership, if one is due."""
        members = next_members(
            self.members,
            self._member_states(),
            tolerated_losses=self.limits.hosts,
        )
        return None if members is None else attrs.evolve(self, members=members)

    def _after_loss(self, index: int, slot: Slot) -> Iterator[tuple[str, GroupState]]:
        if not slot.noticed:
            yield f"{index} is noticed", self._with(index, noticed=True)
        yield (
            f"{index} returns with its disk",
            self._with(index, status=BACK, noticed=False),
        )
        yield (
            f"{index} is replaced",
            self._with(index, status=BACK, noticed=False, number=slot.number + 1),
        )

    def _key_of(self, index: int) -> tuple:
        slot, members = self.slots[index], self.members
        identity = self._identity(index)
        return (
            slot.status,
            slot.noticed,
            identity in members.voters,
            identity in members.learners,
            sum(self._slot_of(voter) == index for voter in members.voters),
        )

    def _may_lose(self, index: int) -> bool:
        lost = [s.place for i, s in enumerate(self.slots) if s.status != UP]
        return self.limits.allow([*lost, self.slots[index].place])

    def _lose(self, index: int) -> GroupState:
        return self._with(index, status=DOWN, noticed=False)

    def _with(self, index: int, **changes: object) -> GroupState:
        slots = list(self.slots)
        slots[index] = attrs.evolve(slots[index], **changes)
        return attrs.evolve(self, slots=tuple(slots))

    def _member_states(self) -> MemberStates:
        running = [
            self._identity(index)
            for index, slot in enumerate(self.slots)
            if slot.status != DOWN
        ]
        silent = [i for i in self.members.identities if self._is_found_silent(i)]
        return MemberStates(
            leader=self.replying_voters[0],
            joining=[i for i in running if i not in self.members.identities],
            silent=silent,
            caught_up=lambda identity: True,
            place_of=lambda identity: self.slots[self._slot_of(identity)].place,
        )

    def _has_unnoticed(self) -> bool:
        return any(slot.status == DOWN and not slot.noticed for slot in self.slots)

    def _is_found_silent(self, identity: str) -> bool:
        """An identity that its slot has no more is as silent as the one that is."""
        slot = self.slots[self._slot_of(identity)]
        if identity != self._identity(self._slot_of(identity)):
            return True
        return slot.status == DOWN and slot.noticed

    def _runs(self, identity: str) -> bool:
        index = self._slot_of(identity)
        return identity == self._identity(index) and self.slots[index].status != DOWN

    def _identity(self, index: int) -> str:
        number = self.slots[index].number
        return f"h{index}n{number}.0" if number else f"h{index}.0"

    def _slot_of(self, identity: str) -> int:
        return int(identity.removeprefix("h").partition(".")[0].partition("n")[0])
