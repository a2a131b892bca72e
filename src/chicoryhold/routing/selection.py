"""What a request requires of a target, and what the choice of one results in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs

from chicoryhold.routing.configuration import RouteRule
from chicoryhold.routing.target_view import TargetView
from chicoryhold.state.targets import TargetState


@attrs.frozen(kw_only=True)
class SelectionCriteria:
    """What a request requires of a target.

    ``allowed_regions`` are the regions that the request may run in, empty for any.
    ``avoid`` holds the addresses that it was already sent to, whichever instance was
    there. Rank 0 is the most urgent. ``time_left`` is the time until the request's
    deadline, in seconds.
    """

    route: RouteRule
    service: str
    affinity_key: str
    allowed_regions: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()
    rank: int = 0
    time_left: float = float("inf")


@attrs.frozen(kw_only=True)
class Estimate:
    """What is expected of one target for a request; times are in seconds.

    ``queue_wait`` is the part of ``expected_latency`` that the request spends in the
    target's queue. ``is_affinity_hit`` means that the target is expected to have
    recently handled the affinity key, ``is_cross_region`` that it is in another region,
    ``is_cold`` that it is cold.
    """

    view: TargetView
    expected_latency: float
    queue_wait: float
    processing_time: float
    is_affinity_hit: bool
    is_cross_region: bool = False
    is_cold: bool = False


@attrs.frozen(kw_only=True)
class Choice(Estimate):
    """The chosen target and the estimates that led to the choice.

    ``rate`` is the number of requests per second that the target takes from all hosts
    together, ``None`` for any. ``state`` is the target's state in the copy of the
    control state at ``revision``, by which it was chosen.
    """

    rate: float | None = None
    state: TargetState = TargetState.READY
    revision: int = 0

    @classmethod
    def of(cls, estimate: Estimate, *, rate: float | None, revision: int) -> Choice:
        return cls(
            view=estimate.view,
            expected_latency=estimate.expected_latency,
            queue_wait=estimate.queue_wait,
            processing_time=estimate.processing_time,
            is_affinity_hit=estimate.is_affinity_hit,
            is_cross_region=estimate.is_cross_region,
            is_cold=estimate.is_cold,
            rate=rate,
            state=estimate.view.record.state,
            revision=revision,
        )


@attrs.frozen(kw_only=True)
class Overloaded:
    """All eligible targets are so busy that the response would be late.

    ``queue_wait`` is the wait at the best target in seconds, ``load`` the number of
    requests per slot.
    """

    queue_wait: float
    load: float


@attrs.frozen(kw_only=True)
class HostLocation:
    """The location of this host, and its round trip times in seconds.

    ``regions`` maps each failure domain to its region. ``domain_round_trip`` applies
    to other domains of the same region, ``region_round_trip`` to another region until
    the round trip there has been measured.
    """

    host: str
    domain: str
    region: str
    regions: Mapping[str, str]
    domain_round_trip: float
    region_round_trip: float


class TargetPermits(Protocol):
    """Divides the rates that targets take between all hosts."""

    def take(self, instance: str, *, rate: float, timeout: float) -> bool:
        """Return whether a request may be sent now to a target that takes ``rate``."""


def until_next_permit(views: list[TargetView], now: float) -> Overloaded | None:
    """Return how long to wait if all ``views`` get as many requests as they take."""
    denied = [view.denied_until - now for view in views if view.denied_until > now]
    return Overloaded(queue_wait=min(denied), load=0.0) if denied else None
