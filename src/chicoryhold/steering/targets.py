"""The targets of one failure domain: membership, slots in use and observed health."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import Announcement, AnnouncementReply, Hello
from chicoryhold.limits.target_permits import TargetPermitAllocator

ANNOUNCEMENT_TTL_SECONDS = 3.0
EJECTION_FAILURE_THRESHOLD = 3
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
LATENCY_SMOOTHING_FACTOR = 0.2


@attrs.define(kw_only=True)
class Target:
    """A target and this system's use of it.

    ``latency`` is an exponentially weighted moving average in seconds. ``failures``
    counts consecutive failed requests. ``inherited`` counts, by host, the slots that an
    earlier coordinator granted. ``limit`` is the number of requests per second that it
    takes, ``None`` for any. ``has_stated_limit`` means that a response under this
    coordinator has stated whether there is one.
    """

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
    ejection_seconds: float = INITIAL_EJECTION_SECONDS
    former_instances: set[str] = attrs.field(factory=set)
    limit: float | None = None
    has_stated_limit: bool = False

    @property
    def occupied(self) -> int:
        """Slots in use, including those granted by an earlier coordinator."""
        return self.in_use + self.inherited_total


class TargetRegistry:
    """Tracks which targets may receive requests, and picks one for each request."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._services: dict[str, list[Target]] = {}
        self._held_by_host: dict[str, dict[str, int]] = {}
        self._limits_by_host: dict[str, dict[str, float]] = {}
        # One coordinator sends all requests to its targets, so it has the whole rate.
        self._permits = TargetPermitAllocator(
            domain="own", domains=("own",), clock=clock
        )

    @property
    def targets(self) -> Iterable[Target]:
        return self._targets.values()

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Add or renew a target."""
        target = self._targets.get(announcement.address)
        if target is None:
            target = self._add(announcement)
        elif target.instance != announcement.instance:
            if announcement.instance in target.former_instances:
                return self._reply(target, "a newer process uses this address")
            target = self._replace_instance(target, announcement)
        elif announcement.sequence <= target.sequence:
            return self._reply(target, "a later announcement has arrived before")
        elif target.service != announcement.service:
            return self._reply(target, "one process serves one service an address")
        target.sequence = announcement.sequence
        target.slots = announcement.slots
        # Draining is final: the process exits, and only a new instance at the address
        # receives requests again.
        target.draining = target.draining or announcement.draining
        target.renewed_at = self._clock.now()
        return self._reply(target, "")

    def pick(self, service: str, avoid: tuple[str, ...]) -> Target | None:
        """Return the least utilised target, or ``None`` if none has a free slot.

        Of equally utilised targets, the one with the lowest latency is picked.
        """
        now = self._clock.now()
        best = None
        best_utilisation = 0.0
        # A linear scan, because a sorted index was slower for up to 71 targets, the
        # expected size of a domain in two years.
        for target in self._services.get(service, ()):
            if not self._is_available(target, now) or target.address in avoid:
                continue
            utilisation = (target.occupied + 1) / target.slots
            if best is None or (utilisation, target.latency) < (
                best_utilisation,
                best.latency,
            ):
                best = target
                best_utilisation = utilisation
        return best

    def has_member(self, service: str, avoid: tuple[str, ...]) -> bool:
        """Return whether a target of the service may receive requests once it has room.

        Full and ejected targets count; those in ``avoid`` don't.
        """
        now = self._clock.now()
        return any(
            self._is_member(target, now) and target.address not in avoid
            for target in self._services.get(service, ())
        )

    def has_announced(self, service: str) -> bool:
        """Return whether a target of the service has ever announced itself."""
        return service in self._services

    def free_fraction(self, service: str) -> float:
        """Return the fraction of a service's slots that is free, 0 if it has no slots.

        Slots of ejected targets are left out.
        """
        now = self._clock.now()
        eligible = [
            target
            for target in self._services.get(service, ())
            if self._is_member(target, now) and now >= target.ejected_until
        ]
        slots = sum(target.slots for target in eligible)
        occupied = sum(min(target.occupied, target.slots) for target in eligible)
        return (slots - occupied) / slots if slots else 0.0

    def limited_rate(self, service: str) -> float | None:
        """Return what the service's targets take a second; ``None`` if any amount."""
        now = self._clock.now()
        limits = [
            target.limit
            for target in self._services.get(service, ())
            if self._is_member(target, now)
        ]
        return None if None in limits or not limits else sum(limits)

    def is_at(self, address: str, *, instance: str) -> bool:
        """Return whether the process ``instance`` is the current one at ``address``."""
        target = self._targets.get(address)
        return target is not None and target.instance == instance

    def acquire_slot(self, target: Target) -> None:
        target.in_use += 1
        if target.limit is not None:
            self._permits.take(target.address, rate=target.limit)

    def record_limit(self, address: str, limit: float | None) -> None:
        """Store the limit that a response of the target stated, ``None`` for none."""
        target = self._targets.get(address)
        if target is not None:
            target.has_stated_limit = True
            self._set_limit(target, limit)

    def record_leaving(self, address: str, instance: str) -> None:
        """Note that the process ``instance`` has said to a host that it leaves."""
        target = self._targets.get(address)
        if target is None or target.instance != instance or target.draining:
            return
        target.draining = True
        logger.bind(target=address, instance=instance).info(
            "coordinator: a target says to a host that it leaves."
        )

    def record_known_limits(self, hello: Hello) -> None:
        """Take the limits that targets named to a host under an earlier coordinator."""
        known = {limit.address: limit.rate for limit in hello.limits if limit.rate >= 0}
        self._limits_by_host[hello.host] = known
        for address, rate in known.items():
            target = self._targets.get(address)
            if target is not None and not target.has_stated_limit:
                self._set_limit(target, rate)

    def release_slot(self, address: str) -> None:
        """Free a slot that this coordinator granted."""
        target = self._targets.get(address)
        if target is not None:
            target.in_use = max(0, target.in_use - 1)

    def observe(self, address: str, *, ok: bool, latency: float) -> None:
        """Record the outcome of a request; ejects the target on consecutive failures.

        Only observed outcomes count, not what the target announces about itself.
        """
        target = self._targets.get(address)
        if target is None:
            return
        if ok:
            target.failures = 0
            target.ejection_seconds = INITIAL_EJECTION_SECONDS
            target.latency += LATENCY_SMOOTHING_FACTOR * (latency - target.latency)
            return
        target.failures += 1
        if target.failures >= EJECTION_FAILURE_THRESHOLD:
            target.ejected_until = self._clock.now() + target.ejection_seconds
            target.ejection_seconds = min(
                2 * target.ejection_seconds, MAX_EJECTION_SECONDS
            )

    def record_held_slots(self, hello: Hello) -> None:
        """Count slots that a host still holds from an earlier coordinator.

        Replaces what the same host reported before.
        """
        held = {slot.address: slot.count for slot in hello.held}
        self._held_by_host[hello.host] = held
        for target in self._targets.values():
            self._set_inherited(target, hello.host, held)

    def expire(self) -> None:
        """Remove targets that stopped renewing and have no slot in use."""
        now = self._clock.now()
        for target in list(self._targets.values()):
            if (
                now - target.renewed_at > ANNOUNCEMENT_TTL_SECONDS
                and not target.occupied
            ):
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
        for host, held in self._held_by_host.items():
            self._set_inherited(target, host, held)
        for known in self._limits_by_host.values():
            target.limit = known.get(target.address, target.limit)
        return target

    def _set_limit(self, target: Target, limit: float | None) -> None:
        if limit != target.limit:
            logger.bind(target=target.address, rate=limit, before=target.limit).info(
                "coordinator: a target named another limit."
            )
        target.limit = limit

    def _replace_instance(self, replaced: Target, announcement: Announcement) -> Target:
        self._remove(replaced)
        target = self._add(announcement)
        target.limit = None
        target.former_instances = replaced.former_instances | {replaced.instance}
        # Requests sent to the former process may still occupy slots on the machine.
        target.in_use = replaced.in_use
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

    def _is_available(self, target: Target, now: float) -> bool:
        """Whether the target may receive a request now.

        After an ejection it receives one request at a time until one succeeds.
        """
        if target.draining or now - target.renewed_at > ANNOUNCEMENT_TTL_SECONDS:
            return False
        if now < target.ejected_until:
            return False
        probing = target.failures >= EJECTION_FAILURE_THRESHOLD
        if target.occupied >= (1 if probing else target.slots):
            return False
        return target.limit is None or self._permits.has_permit(
            target.address, rate=target.limit
        )

    def _is_member(self, target: Target, now: float) -> bool:
        renewed_in_time = now - target.renewed_at <= ANNOUNCEMENT_TTL_SECONDS
        return renewed_in_time and not target.draining

    def _reply(self, target: Target, reason: str) -> AnnouncementReply:
        return AnnouncementReply(
            accepted=not reason, in_use=target.occupied, reason=reason
        )
