"""A model of a group whose control hosts are lost, return and are replaced.

It knows no time but its order: what the settings bound by ``catch_up_s`` is that a host
counts as lost until it is back and the membership has nothing left to change.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from chicoryhold.consensus.messages import Members
from chicoryhold.control.member_states import MemberStates, Place
from chicoryhold.control.membership import next_members

UP, DOWN, BACK = "up", "down", "back"  # BACK: it runs, and still counts as lost


@attrs.frozen(kw_only=True)
class Slot:
    """The place of one control host, and the process that runs there now.

    ``number`` counts the processes that the slot has had, ``disk`` the disks of this
    one. ``noticed`` is whether the leader has found the process silent,
    ``disk_counts`` whether a disk that was lost there still counts as lost.
    """

    place: Place
    number: int = 0
    status: str = UP
    disk: int = 0
    noticed: bool = False
    disk_counts: bool = False


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
    """A state of the group; every event leads to another one.

    With ``overlaps``, any host may be down at any time, and the limits hold for disks.
    With ``loses_disks``, a host may also return without its disk.
    """

    slots: tuple[Slot, ...]
    members: Members
    limits: Limits
    overlaps: bool = False
    loses_disks: bool = False

    @classmethod
    def founded(
        cls, places: tuple[Place, ...], limits: Limits,
        *, overlaps: bool = False, loses_disks: bool = False,
    ) -> GroupState:  # fmt: skip
        """Return a group of three founding voters that the others have joined."""
        slots = tuple(Slot(place=place) for place in places)
        founders = tuple(f"h{number}.0" for number in range(min(3, len(places))))
        state = cls(
            slots=slots,
            members=Members(voters=founders),
            limits=limits,
            overlaps=overlaps,
            loses_disks=loses_disks,
        )
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

    @property
    def can_lead_again(self) -> bool:
        """Whether a majority of the voters has its disks, so that it will reply again.

        Each majority that has stored a commit shares one of them with it.
        """
        intact = [v for v in self.members.voters if v == self._identity_of_slot(v)]
        return len(intact) >= self.members.majority

    def successors(self) -> Iterator[tuple[str, GroupState]]:
        """Return all that may happen next, inside the limits."""
        step = self.next_step() if self.has_majority else None
        if step is not None:
            yield "the membership changes", step
        for index, slot in enumerate(self.slots):
            if slot.status == DOWN:
                yield from self._after_loss(index, slot)
            elif slot.status == UP and self._may_lose(index):
                yield f"{index} is lost", self._lose(index)
            elif slot.status == BACK:
                yield f"{index} is lost again", self._lose(index)
                is_calm = self.has_majority and step is None
                if is_calm and not self._has_unnoticed():
                    yield (
                        f"{index} counts no more",
                        self._with(index, status=UP, disk_counts=False),
                    )

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
        yield f"{index} returns with its disk", self._back(index)
        if not self._may_lose_disk(index):
            return
        if self.loses_disks:
            yield (
                f"{index} returns without its disk",
                self._back(index, disk=slot.disk + 1, disk_counts=True),
            )
        yield (
            f"{index} is replaced",
            self._back(index, number=slot.number + 1, disk=0, disk_counts=True),
        )

    def _back(self, index: int, **changes: object) -> GroupState:
        changes = {"disk_counts": self.slots[index].disk_counts, **changes}
        if not self.overlaps:
            changes["disk_counts"] = False
        counts = changes["disk_counts"] or not self.overlaps
        status = BACK if counts else UP
        return self._with(index, status=status, noticed=False, **changes)

    def _may_lose_disk(self, index: int) -> bool:
        lost = [
            slot.place
            for number, slot in enumerate(self.slots)
            if slot.disk_counts and number != index
        ]
        return self.limits.allow([*lost, self.slots[index].place])

    def _key_of(self, index: int) -> tuple:
        slot, members = self.slots[index], self.members
        identity = self._identity(index)
        return (
            slot.status,
            slot.noticed,
            slot.disk_counts,
            identity in members.voters,
            identity in members.learners,
            identity in members.settled,
            self._former(index, members.voters),
            self._former(index, members.settled),
            self._former(index, members.lost),
            identity in members.lost,
        )

    def _former(self, index: int, identities: tuple[str, ...]) -> tuple[bool, ...]:
        """Return for each former identity of a slot if it is of the same process."""
        current = self._identity(index)
        return tuple(
            identity.partition(".")[0] == current.partition(".")[0]
            for identity in identities
            if self._slot_of(identity) == index and identity != current
        )

    def _may_lose(self, index: int) -> bool:
        if self.overlaps:
            return True
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
        former = [i for i in self.members.learners if i != self._identity_of_slot(i)]
        return MemberStates(
            leader=self.replying_voters[0],
            joining=[i for i in running if i not in self.members.identities],
            silent=silent,
            forgotten=[i for i in former if i not in self.members.settled],
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
        is_current = identity == self._identity_of_slot(identity)
        return is_current and self.slots[self._slot_of(identity)].status != DOWN

    def _identity_of_slot(self, identity: str) -> str:
        return self._identity(self._slot_of(identity))

    def _identity(self, index: int) -> str:
        slot = self.slots[index]
        process = f"h{index}n{slot.number}" if slot.number else f"h{index}"
        return f"{process}.{slot.disk}"

    def _slot_of(self, identity: str) -> int:
        return int(identity.removeprefix("h").partition(".")[0].partition("n")[0])
