"""Which targets are healthy, and how loaded a group of them is."""

from __future__ import annotations

from chicoryhold.routing.target_view import TargetView
from chicoryhold.state.targets import TargetState

UNHEALTHY_FAILURE_RATE = 0.3  # targets that fail at least this often are avoided
# With a smaller fraction of healthy targets, the unhealthy ones are used as well.
MIN_HEALTHY_FRACTION = 0.5


def load_per_slot(views: list[TargetView], now: float) -> float:
    """Return the number of requests per slot over all of ``views``."""
    return sum(view.occupancy(now) for view in views) / sum(v.slots for v in views)


def without_unhealthy(views: list[TargetView], now: float) -> list[TargetView]:
    """Leave out unhealthy targets, unless too few healthy ones would remain.

    When many targets look unhealthy, the cause is more likely overload or the network
    than the targets themselves, and the remaining ones would be overloaded by the
    requests meant for all of them.
    """
    healthy = [view for view in views if _is_healthy(view, now)]
    if len(healthy) >= MIN_HEALTHY_FRACTION * len(views):
        return healthy
    return views


def all_out_of_reach(views: list[TargetView], now: float) -> bool:
    """Return whether no connection to any of ``views`` could be opened lately."""
    return all(view.is_unreachable and now < view.ejected_until for view in views)


def _is_healthy(view: TargetView, now: float) -> bool:
    if now < view.ejected_until or view.record.state is TargetState.SILENT:
        return False
    return view.failure_rate < UNHEALTHY_FAILURE_RATE or view.in_flight == 0
