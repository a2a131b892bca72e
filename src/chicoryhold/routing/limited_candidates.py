"""The targets that may get a request while some targets of its service name limits."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

import attrs

from chicoryhold.routing.health import without_unhealthy
from chicoryhold.routing.latency import by_affinity
from chicoryhold.routing.target_view import TargetView


class Scope(enum.Enum):
    """The targets among which one is chosen, in the order in which they are tried.

    The last two are tried only if a target of the service names a limit.
    """

    USUAL = enum.auto()
    ANY_REGION = enum.auto()
    OTHERS_WITH_LIMIT = enum.auto()


@attrs.frozen(kw_only=True)
class LimitedServiceCandidates:
    """The candidates for one request, by scope.

    A target with a limit normally gets requests for the affinity keys that prefer it.
    What it doesn't take of these goes to the same few targets from all hosts, in
    whatever region they are, so that they handle few keys besides their own.

    ``allowed`` are the targets that may run the request, ``eligible`` those of them
    that may be asked now. ``rates`` are the limits by instance. ``region`` is that of
    this host; ``is_moved`` means that the affinity key leaves it.
    """

    affinity_key: str
    region: str
    allowed: list[TargetView]
    eligible: list[TargetView]
    rates: Mapping[str, float]
    now: float
    is_moved: bool

    def of(self, scope: Scope) -> list[TargetView]:
        """Return the candidates of ``scope``."""
        # Health is that of the service: the last target without a limit would otherwise
        # get all requests however often it fails.
        cold = [view for view in self.allowed if view.is_cold(self.now)]
        warm = [view for view in self.allowed if not view.is_cold(self.now)]
        healthy = without_unhealthy(warm, self.now)
        match scope:
            case Scope.USUAL:
                return self._usual([*healthy, *cold])
            case Scope.ANY_REGION:
                return self._any_region(healthy)
            case Scope.OTHERS_WITH_LIMIT:
                return self._with_limit([*healthy, *cold])

    def _usual(self, views: list[TargetView]) -> list[TargetView]:
        """Return the preferred target, or all of the region if it has no limit."""
        local = [view for view in views if view.region == self.region]
        if not local or self.is_moved:
            return []
        preferred = by_affinity(self.affinity_key, local)[0]
        if self._has_limit(preferred):
            return self._eligible([preferred])
        return self._eligible(view for view in local if not self._has_limit(view))

    def _any_region(self, healthy: list[TargetView]) -> list[TargetView]:
        """Return the healthy target without a limit that the affinity key prefers."""
        usable = self._eligible(view for view in healthy if not self._has_limit(view))
        return by_affinity(self.affinity_key, usable)[:1]

    def _with_limit(self, views: list[TargetView]) -> list[TargetView]:
        """Return the targets with a limit, of the own region if it has any target."""
        limited = self._eligible(view for view in views if self._has_limit(view))
        if any(view.region == self.region for view in self.allowed):
            return [view for view in limited if view.region == self.region]
        return limited

    def _eligible(self, views: Iterable[TargetView]) -> list[TargetView]:
        instances = {view.record.instance for view in self.eligible}
        return [view for view in views if view.record.instance in instances]

    def _has_limit(self, view: TargetView) -> bool:
        return view.record.instance in self.rates
