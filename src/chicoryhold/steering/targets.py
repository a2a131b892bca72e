"""The targets of one failure domain: membership, slots in use, and what was seen."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import Announcement, AnnouncementReply, Hello

ANNOUNCEMENT_TTL = 3.0
EJECT_AFTER_FAILURES = 3
EJECT_FIRST_SECONDS = 1.0
EJECT_LAST_SECONDS = 30.0
LATENCY_WEIGHT = 0.2


@attrs.define(kw_only=True)
class Target:
    """A target and this system's use of it. ``latency`` in seconds, smoothed."""

    service: str
    address: str
    instance: str
    sequence: int
    slots: int
    draining: bool
    renewed_at: float
    in_use: int = 0
    inherited: dict[str, int] = attrs.field(factory=dict)
    inherited_total: int = 0
    latency: float = 0.0
    failures: int = 0
    ejected_until: float = float("-inf")
    eject_seconds: float = EJECT_FIRST_SECONDS
    former_instances: set[str] = attrs.field(factory=set)

    @property
    def occupied(self) -> int:
        """Slots in use, with those given out by an earlier coordinator."""
        return self.in_use + self.inherited_total


class TargetRegistry:
    """Knows which targets may get work, and picks one."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._services: dict[str, list[Target]] = {}
        self._held: dict[str, dict[str, int]] = {}

    @property
    def targets(self) -> Iterable[Target]:
        return self._targets.values()

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Add or renew a target."""
        known = self._targets.get(announcement.address)
        if known is None:
            known = self._add(announcement)
        elif known.instance != announcement.instance:
            if announcement.instance in known.former_instances:
                return self._reply(known, "a newer process uses this address")
            known = self._replace(known, announcement)
        elif announcement.sequence <= known.sequence:
            return self._reply(known, "a later announcement has arrived before")
        elif known.service != announcement.service:
            return self._reply(known, "one process serves one service an address")
        known.sequence = announcement.sequence
        known.slots = announcement.slots
        # A process that began to drain ends; only a new one takes work again.
        known.draining = known.draining or announcement.draining
        known.renewed_at = self._clock.now()
        return self._reply(known, "")

    def pick(self, service: str, avoid: tuple[str, ...]) -> Target | None:
        """Return the target with the most room, or ``None`` if none has a slot."""
        now = self._clock.now()
        best = None
        best_use = 0.0
        # A sorted index was slower up to 71 targets, the two-year size of a domain.
        for target in self._services.get(service, ()):
            if not self._may_get_work(target, now) or target.address in avoid:
                continue
            use = (target.occupied + 1) / target.slots
            if best is None or (use, target.latency) < (best_use, best.latency):
                best = target
                best_use = use
        return best

    def serves(self, service: str, avoid: tuple[str, ...]) -> bool:
        """Return whether any target of the service may get work once it has room."""
        now = self._clock.now()
        return any(
            self._is_member(target, now) and target.address not in avoid
            for target in self._services.get(service, ())
        )

    def free_share(self, service: str) -> float:
        """Return the free part of the slots of a service, 0 if it has none."""
        now = self._clock.now()
        members = [
            target
            for target in self._services.get(service, ())
            if self._is_member(target, now) and now >= target.ejected_until
        ]
        slots = sum(target.slots for target in members)
        occupied = sum(min(target.occupied, target.slots) for target in members)
        return (slots - occupied) / slots if slots else 0.0

    def occupy(self, target: Target) -> None:
        target.in_use += 1

    def release(self, address: str) -> None:
        """Free a slot given out by this coordinator."""
        target = self._targets.get(address)
        if target is not None:
            target.in_use = max(0, target.in_use - 1)

    def observe(self, address: str, *, ok: bool, latency: float) -> None:
        """Weigh what was seen; it counts whatever the target says of itself."""
        target = self._targets.get(address)
        if target is None:
            return
        if ok:
            target.failures = 0
            target.eject_seconds = EJECT_FIRST_SECONDS
            target.latency += LATENCY_WEIGHT * (latency - target.latency)
            return
        target.failures += 1
        if target.failures >= EJECT_AFTER_FAILURES:
            target.ejected_until = self._clock.now() + target.eject_seconds
            target.eject_seconds = min(2 * target.eject_seconds, EJECT_LAST_SECONDS)

    def inherit(self, hello: Hello) -> None:
        """Count slots that a host still holds from an earlier coordinator."""
        held = {slot.address: slot.count for slot in hello.held}
        self._held[hello.host] = held
        for target in self._targets.values():
            self._set_inherited(target, hello.host, held)

    def expire(self) -> None:
        """Forget targets that stopped renewing and have no request of ours."""
        now = self._clock.now()
        for target in list(self._targets.values()):
            if now - target.renewed_at > ANNOUNCEMENT_TTL and not target.occupied:
                self._remove(target)

    def _add(self, announcement: Announcement) -> Target:
        target = Target(
            service=announcement.service,
            address=announcement.address,
            instance=announcement.instance,
            sequence=announcement.sequence,
            slots=announcement.slots,
            draining=announcement.draining,
            renewed_at=self._clock.now(),
        )
        self._targets[announcement.address] = target
        self._services.setdefault(announcement.service, []).append(target)
        for host, held in self._held.items():
            self._set_inherited(target, host, held)
        return target

    def _replace(self, old: Target, announcement: Announcement) -> Target:
        self._remove(old)
        target = self._add(announcement)
        target.former_instances = old.former_instances | {old.instance}
        # Requests to the former process may still hold the machine's slots.
        target.in_use = old.in_use
        return target

    def _remove(self, target: Target) -> None:
        del self._targets[target.address]
        self._services[target.service].remove(target)

    def _set_inherited(self, target: Target, host: str, held: dict[str, int]) -> None:
        count = held.get(target.address, 0)
        if count:
            target.inherited[host] = count
        else:
            target.inherited.pop(host, None)
        target.inherited_total = sum(target.inherited.values())

    def _may_get_work(self, target: Target, now: float) -> bool:
        if target.draining or now - target.renewed_at > ANNOUNCEMENT_TTL:
            return False
        if now < target.ejected_until:
            return False
        on_trial = target.failures >= EJECT_AFTER_FAILURES
        return target.occupied < (1 if on_trial else target.slots)

    def _is_member(self, target: Target, now: float) -> bool:
        recent = now - target.renewed_at <= ANNOUNCEMENT_TTL
        return recent and not target.draining

    def _reply(self, target: Target, reason: str) -> AnnouncementReply:
        return AnnouncementReply(
            accepted=not reason, in_use=target.occupied, reason=reason
        )
