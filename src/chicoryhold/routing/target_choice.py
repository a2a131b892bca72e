"""Chooses the target with the lowest expected latency for a request.

A target that recently handled a request with the same affinity key is several times
as fast, so it is preferred to an idle target until its queue costs more time than
that saves.

A cold target has just started, or the evacuation of its domain has just ended. It is
slower than a warm one and takes a limited rate of requests. A target in trouble may
name such a limit too. Each request to either needs a permit.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from random import Random

from chicoryhold.clock import Clock
from chicoryhold.routing.configuration import ServiceRule
from chicoryhold.routing.health import (
    all_out_of_reach,
    load_per_slot,
    without_unhealthy,
)
from chicoryhold.routing.latency import LatencyEstimator
from chicoryhold.routing.limited_candidates import LimitedServiceCandidates, Scope
from chicoryhold.routing.selection import (
    Choice,
    Estimate,
    HostLocation,
    Overloaded,
    SelectionCriteria,
    TargetPermits,
    until_next_permit,
)
from chicoryhold.routing.spill import SpilloverController, capacity_shortfall
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.routing.target_view import LoadReport, TargetView
from chicoryhold.routing.target_views import TargetViews
from chicoryhold.state.targets import TargetRecord

OVERLOAD_THRESHOLD = 1.15  # requests per slot above which late requests are refused
# Fraction of the latency objective that a request may queue even if the processing
# time alone exceeds the objective.
MIN_WAIT_FRACTION = 0.2
# Less urgent requests are refused at a shorter wait, so before more urgent ones.
WAIT_FACTOR_PER_RANK = 0.85
MAX_RANK = 4  # higher ranks are treated like this one
# For one request, a permit is asked for at this many targets. Then it goes to a target
# without a limit.
MAX_PERMITS_ASKED = 3
# After a denial, the target is left out for a random time up to this.
DENIAL_SECONDS = 0.2


class TargetChooser:
    """Tracks the state of targets and chooses one per request. Thread-safe."""

    def __init__(
        self, *, location: HostLocation, clock: Clock, statements: TargetStatements,
        permits: TargetPermits,
    ) -> None:  # fmt: skip
        self._location = location
        self._statements = statements
        self._limits = statements.limits
        self._permits = permits
        self._random = Random(location.host)
        self._clock = clock
        self._views = TargetViews(regions=location.regions, statements=statements)
        self._revision = 0
        self._latency = LatencyEstimator(location=location)
        self._spillover = SpilloverController(clock=clock)
        self._regions = len(set(location.regions.values()))
        self._lock = threading.Lock()
        statements.on_leaving(self._leave_out_leaving)

    @property
    def views(self) -> dict[str, TargetView]:
        """The state of each target as seen by this host, by instance."""
        return self._views.by_instance

    def record_at(self, address: str) -> TargetRecord | None:
        """Return the record of the target at ``address``, if there is one."""
        view = self._views.at(address)
        return view.record if view else None

    def is_staying(self, address: str) -> bool:
        """Return whether no target at ``address`` has said that it leaves."""
        record = self.record_at(address)
        return record is None or not self._statements.is_leaving(record)

    def left_out(self, service: str) -> int:
        """Return how many targets of ``service`` are left out only since they leave."""
        return self._views.left_out(service)

    @property
    def left_out_count(self) -> int:
        """The number of targets that said they leave and the registry calls ready."""
        return self._views.left_out_count

    def update(
        self, records: Iterable[TargetRecord], *, evacuated: frozenset[str],
        service_rule: Callable[[str], ServiceRule], revision: int = 0,
    ) -> None:  # fmt: skip
        """Apply the current targets, evacuated domains and service rules.

        They are those of the control state at ``revision``.
        """
        with self._lock:
            self._revision = revision
            self._views.update(
                records,
                evacuated=evacuated,
                service_rule=service_rule,
                now=self._clock.now(),
            )

    def _leave_out_leaving(self) -> None:
        with self._lock:
            self._views.leave_out_leaving()

    def record_connect_time(self, address: str, seconds: float) -> None:
        """Use the time that opening a connection took as the region's round trip."""
        with self._lock:
            view = self._views.at(address)
            if view is not None:
                self._latency.record_connect_time(view.region, seconds)

    def choose(self, criteria: SelectionCriteria) -> Choice | Overloaded | None:
        """Return the best target and count the request as in flight there.

        ``None`` means that no target is eligible. ``Overloaded`` means that the
        request would be late and only take a slot from requests that can still meet
        their objective, or that all targets get as many requests as they take.
        """
        if self._views.left_out(criteria.service):
            self._statements.count_left_out()
        outcome: Overloaded | None = None
        asked = 0
        for scope in self._scopes(criteria):
            choice = self._choose(criteria, scope, may_ask=asked < MAX_PERMITS_ASKED)
            while isinstance(choice, Choice):
                if choice.rate is None:
                    return choice
                if not self._has_permit(choice, criteria):
                    self._record_denial(choice)
                elif self.holds(choice):
                    return choice
                asked += 1
                choice = self._choose(
                    criteria, scope, may_ask=asked < MAX_PERMITS_ASKED
                )
            outcome = outcome or choice
        return outcome

    def back_off_seconds(self, criteria: SelectionCriteria) -> float:
        """Return how long all targets want no request; 0 if one of them takes it."""
        with self._lock:
            allowed, backing_off = self._allowed(criteria)
        return 0.0 if allowed or not backing_off else min(backing_off)

    def holds(self, choice: Choice) -> bool:
        """Return whether the chosen target may still get the request.

        If not, for instance since it has said meanwhile that it leaves, the request no
        longer counts as in flight there.
        """
        if self._views.is_open(choice.view):
            return True
        self.release(choice)
        return False

    def _scopes(self, criteria: SelectionCriteria) -> tuple[Scope, ...]:
        rates = self._limits.rates()
        has_limits = bool(rates) and any(
            view.record.instance in rates
            for view in self._views.staying(criteria.service)
        )
        return tuple(Scope) if has_limits else (Scope.USUAL,)

    def _has_permit(self, choice: Choice, criteria: SelectionCriteria) -> bool:
        return self._permits.take(
            choice.view.record.instance,
            rate=choice.rate,
            timeout=max(0.0, criteria.time_left),
        )

    def _choose(
        self, criteria: SelectionCriteria, scope: Scope, *, may_ask: bool
    ) -> Choice | Overloaded | None:
        now = self._clock.now()
        rates = self._limits.rates()
        with self._lock:
            allowed, backing_off = self._allowed(criteria)
            eligible = [
                view
                for view in allowed
                if now >= view.denied_until
                and (may_ask or self._rate_of(view, rates, now) is None)
            ]
            views, best = self._select_in(scope, criteria, allowed, eligible, rates)
            if best is None:
                return _soonest(until_next_permit(allowed, now), backing_off)
            if best.queue_wait > self._max_wait(criteria, best):
                load = load_per_slot(views, now)
                if load > OVERLOAD_THRESHOLD:
                    return Overloaded(queue_wait=best.queue_wait, load=load)
            best.view.record_sent()
            return Choice.of(
                best, rate=self._rate_of(best.view, rates, now), revision=self._revision
            )

    def _select_in(
        self, scope: Scope, criteria: SelectionCriteria, allowed: list[TargetView],
        eligible: list[TargetView], rates: Mapping[str, float],
    ) -> tuple[list[TargetView], Estimate | None]:  # fmt: skip
        """Return the targets of ``scope`` that were considered, and the best one."""
        now = self._clock.now()
        has_limits = bool(rates) and any(v.record.instance in rates for v in allowed)
        if scope is Scope.USUAL and not has_limits:
            return self._select(criteria, eligible, now)
        candidates = LimitedServiceCandidates(
            affinity_key=criteria.affinity_key,
            region=self._location.region,
            allowed=allowed,
            eligible=eligible,
            rates=rates,
            now=now,
            is_moved=self._spillover.moves(criteria.service, criteria.affinity_key),
        )
        usable = candidates.of(scope)
        return usable, self._latency.fastest(criteria, usable, now)

    def _rate_of(
        self, view: TargetView, rates: Mapping[str, float], now: float
    ) -> float | None:
        """Return the rate that the target takes from all hosts, ``None`` for any."""
        stated = rates.get(view.record.instance)
        if not view.is_cold(now):
            return stated
        return view.cold_rate if stated is None else min(stated, view.cold_rate)

    def _record_denial(self, choice: Choice) -> None:
        with self._lock:
            choice.view.record_end()
            choice.view.denied_until = (
                self._clock.now() + self._random.uniform(0.3, 1.0) * DENIAL_SECONDS
            )

    def record_success(
        self,
        choice: Choice,
        criteria: SelectionCriteria,
        *,
        seconds: float,
        load: LoadReport | None,
    ) -> None:
        """Record a complete response that took ``seconds``."""
        now = self._clock.now()
        with self._lock:
            view = choice.view
            if load is not None:
                view.record_load(load, now)
            view.record_end()
            view.recent_keys.add(criteria.affinity_key)
            waited = load is not None and load.waiting > 0
            if not waited and not choice.is_cold:
                self._latency.record_success(choice, criteria, seconds=seconds)

    def record_rejection(self, choice: Choice, *, load: LoadReport | None) -> None:
        """Record the target's own statement that it did not run the request."""
        with self._lock:
            if load is not None:
                choice.view.record_load(load, self._clock.now())
            choice.view.record_end()

    def record_failure(self, choice: Choice, *, unreachable: bool) -> bool:
        """Record a failed exchange; return whether the target is now ejected."""
        with self._lock:
            choice.view.record_end()
            return choice.view.record_failure(
                self._clock.now(), unreachable=unreachable
            )

    def forget_failures(self, *, since: float) -> None:
        """Forget the failures of targets that failed since then, as they were ours."""
        with self._lock:
            for view in self._views.by_instance.values():
                if view.failed_at >= since:
                    view.forget_failures()

    def release(self, choice: Choice) -> None:
        """End an exchange whose outcome says nothing about the target."""
        with self._lock:
            choice.view.record_end()

    def _allowed(
        self, criteria: SelectionCriteria
    ) -> tuple[list[TargetView], list[float]]:
        """Return the targets that may run the request, whatever their load.

        Returns also the seconds for which others want none, whichever it avoids.
        """
        allowed = self._able(criteria, avoid=criteria.avoid)
        if not self._statements.has_back_offs:
            return allowed, []
        seconds_of = self._statements.back_off_seconds
        able = self._able(criteria, avoid=frozenset())
        backing_off = [seconds for v in able if (seconds := seconds_of(v.record))]
        return [view for view in allowed if not seconds_of(view.record)], backing_off

    def _able(
        self, criteria: SelectionCriteria, *, avoid: frozenset[str]
    ) -> list[TargetView]:
        now = self._clock.now()
        return [
            view
            for view in self._views.open(criteria.service)
            if view.record.address not in avoid
            and (
                not criteria.allowed_regions or view.region in criteria.allowed_regions
            )
            and (not view.is_cold(now) or view.cold_rate > 0)
        ]

    def _select(
        self, criteria: SelectionCriteria, eligible: list[TargetView], now: float
    ) -> tuple[list[TargetView], Estimate | None]:
        """Return the targets that were considered, and the best of them.

        Targets of another region are considered only if the local region has no warm
        target in reach or the request spills over; cold targets of another region only
        if there is no warm target at all.
        """
        region = self._location.region
        warm = [view for view in eligible if not view.is_cold(now)]
        cold = [view for view in eligible if view.is_cold(now)]
        local = without_unhealthy([v for v in warm if v.region == region], now)
        remote = without_unhealthy([v for v in warm if v.region != region], now)
        if remote and (
            all_out_of_reach(local, now)
            or self._spills_over(criteria, local, remote, now)
        ):
            return remote, self._latency.fastest_remote(criteria, remote, now)
        local += [view for view in cold if view.region == region or not local]
        return local, self._latency.fastest(criteria, local, now)

    def _spills_over(
        self,
        criteria: SelectionCriteria,
        local: list[TargetView],
        remote: list[TargetView],
        now: float,
    ) -> bool:
        self._spillover.observe(
            criteria.service,
            load_per_slot(local, now),
            initial_share=lambda: capacity_shortfall(
                local, remote, regions=self._regions
            ),
        )
        return self._spillover.moves(criteria.service, criteria.affinity_key)

    def _max_wait(self, criteria: SelectionCriteria, choice: Estimate) -> float:
        """Return the longest acceptable queue wait in seconds.

        It keeps the request within the latency objective of its route and within its
        deadline.
        """
        objective = criteria.route.objective
        max_wait = float("inf")
        if objective > 0:
            without_wait = choice.expected_latency - choice.queue_wait
            max_wait = max(MIN_WAIT_FRACTION * objective, objective - without_wait)
            max_wait *= WAIT_FACTOR_PER_RANK ** min(max(0, criteria.rank), MAX_RANK)
        return min(
            max_wait, criteria.time_left - choice.expected_latency + choice.queue_wait
        )


def _soonest(denied: Overloaded | None, backing_off: list[float]) -> Overloaded | None:
    """Return what ends first: that permits are denied, or a target's back-off."""
    if not backing_off:
        return denied
    wait = min(backing_off)
    if denied is not None and denied.queue_wait <= wait:
        return denied
    return Overloaded(queue_wait=wait, load=0.0)
