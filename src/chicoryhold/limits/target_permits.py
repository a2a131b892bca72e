"""Permits for requests to targets that take a limited rate from all hosts together.

A target may name a limit, or be cold. Each domain's control host mints the domain's
share of the target's rate, and domains lend each other permits, as for organisations.
The rate comes with each request for a permit, so control hosts need no other source.
"""

from __future__ import annotations

from math import isfinite

import attrs

from chicoryhold.clock import Clock
from chicoryhold.limits.permits import Allowance, PermitAllocator
from chicoryhold.limits.shares import share_of
from chicoryhold.state.table import OrganisationLimits

# A target may get as many requests at once, over all domains. In whole requests, so
# that small rates can be divided between domains at all.
MIN_BURST_REQUESTS = 4
BURST_SECONDS = 0.6
MIN_BUCKET_PERMITS = 1.0
# A domain without a share of its own holds as many borrowed permits.
BORROWED_PERMITS = 1.0
# Even a target that takes nothing gets a request now and then: only an answer shows
# that its limit has ended.
MIN_RATE = 0.25  # requests per second
MAX_RATE = 1e6  # more than any target takes
OWN_STATEMENT_VALID_SECONDS = 0.5
FORGET_AFTER_SECONDS = 30.0


@attrs.define(kw_only=True)
class _StatedRate:
    """``is_own`` means that it comes from a host of this domain, not with a loan."""

    rate: float
    stated_at: float
    is_own: bool = True


class TargetPermitAllocator:
    """The buckets of one domain for targets with a limited rate. Does no I/O.

    ``domains`` are those between which each rate is divided, ``domain`` is the own one.
    """

    def __init__(self, *, domain: str, domains: tuple[str, ...], clock: Clock) -> None:
        self._domain = domain
        self._domains = domains
        self._clock = clock
        self._stated: dict[str, _StatedRate] = {}
        self._next_cleanup_at = 0.0
        self._permits = PermitAllocator(
            domains=1,
            allowance_of=self._own_share,
            clock=clock,
            min_bucket=MIN_BUCKET_PERMITS,
            loan_room=BORROWED_PERMITS,
        )

    def take(self, instance: str, *, rate: float) -> bool:
        """Return whether a request may be sent now to a target that takes ``rate``."""
        self._note_rate(instance, rate)
        return bool(self._permits.take(instance, wanted=1, needed=1))

    def has_permit(self, instance: str, *, rate: float) -> bool:
        """Return whether :meth:`take` would grant a permit now."""
        self._note_rate(instance, rate)
        return self._permits.available(instance) >= 1

    def shortage(self, instance: str) -> int:
        """Return how many permits to borrow from other domains; 0 for none."""
        return self._permits.shortage(instance)

    def rate_of(self, instance: str) -> float:
        """Return the rate that was stated last."""
        return self._stated[instance].rate

    def lend(self, instance: str, *, rate: float, count: int) -> int:
        """Remove up to ``count`` permits for another domain; return how many."""
        stated = self._stated.get(instance)
        now = self._clock.now()
        if (
            stated is None
            or not stated.is_own
            or now - stated.stated_at > OWN_STATEMENT_VALID_SECONDS
        ):
            # No host of this domain uses the target now, so the borrower knows better.
            self._note_rate(instance, rate, is_own=False)
        return self._permits.lend(instance, count)

    def receive(self, instance: str, *, count: int) -> None:
        """Add permits that another domain has lent to this one."""
        self._permits.receive(instance, count)

    def _note_rate(self, instance: str, rate: float, *, is_own: bool = True) -> None:
        now = self._clock.now()
        rate = min(max(rate, MIN_RATE), MAX_RATE) if isfinite(rate) else MIN_RATE
        self._stated[instance] = _StatedRate(rate=rate, stated_at=now, is_own=is_own)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + FORGET_AFTER_SECONDS
            self._forget_unused(now)

    def _forget_unused(self, now: float) -> None:
        for instance, stated in list(self._stated.items()):
            if now - stated.stated_at > FORGET_AFTER_SECONDS:
                del self._stated[instance]
                self._permits.forget(instance)

    def _own_share(self, instance: str) -> Allowance | None:
        stated = self._stated.get(instance)
        if stated is None:
            return None
        burst = MIN_BURST_REQUESTS + int(stated.rate * BURST_SECONDS)
        share = share_of(
            organisation=instance,
            limits=OrganisationLimits(rate=stated.rate, burst=burst),
            domain=self._domain,
            domains=self._domains,
        )
        return Allowance(rate=share.rate, burst=share.capacity)
