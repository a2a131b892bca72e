"""Chooses a target by when it is expected to have finished.

A target that has handled an object lately is several times as fast, so a short queue
there beats an idle target elsewhere, until the wait costs more than it saves.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

import attrs

from chicoryhold.clock import Clock
from chicoryhold.routing.affinity import hash_of, rendezvous_score, share_of
from chicoryhold.routing.configuration import RouteRule, ServiceRule
from chicoryhold.routing.spill import Spill
from chicoryhold.routing.target_view import LoadReport, TargetView
from chicoryhold.routing.work_times import WorkTime
from chicoryhold.state.targets import TargetRecord, TargetState

HOMES_OF_AN_OBJECT = 2
FAILING_SHARE = 0.3  # of failures from which a target is taken last
LEAST_GOOD_SHARE = 0.5
OVERLOAD = 1.15  # requests for each slot, from which a late answer is refused instead
LEAST_PATIENCE = 0.2  # of the latency objective, where the work alone takes as long
PATIENCE_BY_RANK = 0.85  # for each rank, so that the least urgent is refused first
LAST_RANK = 4  # ranks after it are treated alike
DISTANCE_WEIGHT = 0.02
COLD_SHARE = 0.8  # of the rate that a cold target bears
COLD_SLOWNESS = 2.0  # times the work of a target that isn't cold
FAILURE_COST = 1.0  # seconds that a certain failure is worth


@attrs.frozen(kw_only=True)
class Wanted:
    """What a request needs of a target.

    ``homes`` are the regions it may run in, empty for any; ``avoid`` are instances
    that it was sent to before. Rank 0 is the most urgent; ``left`` are the seconds
    until nobody waits for the answer.
    """

    route: RouteRule
    service: str
    affinity_key: str
    homes: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()
    rank: int = 0
    left: float = float("inf")


@attrs.frozen(kw_only=True)
class Choice:
    """A target, and why: what was expected of it, in seconds.

    ``wait`` is the part of ``expected`` in its queue; ``is_far`` targets are in
    another region.
    """

    view: TargetView
    expected: float
    wait: float
    work: float
    is_known: bool
    is_far: bool = False
    is_cold: bool = False


@attrs.frozen(kw_only=True)
class Overloaded:
    """All targets that may get a request are so busy that its answer would be late.

    ``wait`` is the shortest one in seconds, ``load`` what is there for each slot.
    """

    wait: float
    load: float


@attrs.frozen(kw_only=True)
class HostLocation:
    """Where this host is, and how far the others are (seconds, there and back).

    ``region_distance`` counts until the way to a region was measured.
    """

    host: str
    domain: str
    region: str
    regions: Mapping[str, str]
    domain_round_trip: float
    region_round_trip: float


class TargetChooser:
    """Keeps beliefs about targets and picks one. Safe to use from many threads.

    ``entry_hosts`` returns how many hosts send requests, 0 if that isn't known: a
    cold target bears few requests from all of them together, and each host sends its
    part of them without asking anybody.
    """

    def __init__(
        self, *, location: HostLocation, clock: Clock, entry_hosts: Callable[[], int]
    ) -> None:
        self._place = location
        self._entry_hosts = entry_hosts
        self._clock = clock
        self._views: dict[str, TargetView] = {}
        self._services: dict[str, list[TargetView]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._addresses: dict[str, TargetView] = {}
        self._distances: dict[str, float] = {}
        self._work: dict[tuple[str, str], WorkTime] = {}
        self._spill = Spill(clock=clock)
        self._lock = threading.Lock()

    @property
    def views(self) -> dict[str, TargetView]:
        """What is believed of each target, by instance."""
        return self._views

    def update(
        self, records: Iterable[TargetRecord], *, evacuated: frozenset[str],
        service_rule: Callable[[str], ServiceRule],
    ) -> None:  # fmt: skip
        """Take the targets, evacuated domains and services that are in force now."""
        now = self._clock.now()
        with self._lock:
            readmitted = self._evacuated - evacuated
            self._evacuated = evacuated
            views = {}
            for record in records:
                if record.state is not TargetState.GONE:
                    rule = service_rule(record.service)
                    view = self._updated(record, now)
                    view.cold_rate = self._cold_part(rule)
                    if record.domain in readmitted:
                        # It may have been restarted without a word of it.
                        left = max(rule.cold_seconds, view.cold_until - now)
                        self._turn_cold(view, now, left)
                        view.objects.clear()
                    views[record.instance] = view
            self._views = views
            self._addresses = {view.record.address: view for view in views.values()}
            self._services = {}
            for view in views.values():
                self._services.setdefault(view.record.service, []).append(view)

    def record_connect_time(self, address: str, seconds: float) -> None:
        """A connection took ``seconds`` to open, which is the way there and back."""
        with self._lock:
            view = self._addresses.get(address)
            if view is None or view.region == self._place.region:
                return
            known = self._distances.get(view.region)
            if known is None or seconds < known:
                self._distances[view.region] = seconds
            else:
                # Lost packets make it seem longer, a longer way does so for good.
                shown = min(seconds, 2 * known)
                self._distances[view.region] = known + DISTANCE_WEIGHT * (shown - known)

    def choose(self, wanted: Wanted) -> Choice | Overloaded | None:
        """Return the best target and count the request there.

        ``None`` means that no target may get it, ``Overloaded`` that it would only
        take a slot from requests that can still be in time.
        """
        now = self._clock.now()
        with self._lock:
            views, best = self._best(wanted, self._allowed(wanted, now), now)
            if best is None:
                return None
            load = _load_of(views, now)
            if load > OVERLOAD and best.wait > self._patience(wanted, best):
                return Overloaded(wait=best.wait, load=load)
            best.view.sent(now)
            return best

    def finished(
        self, choice: Choice, wanted: Wanted, *, seconds: float, load: LoadReport | None
    ) -> None:
        """A whole answer came after ``seconds``."""
        now = self._clock.now()
        with self._lock:
            view = choice.view
            if load is not None:
                view.told(load, now)
            view.done()
            view.objects.add(wanted.affinity_key)
            work = max(0.001, seconds - self._distance(view))
            waited = load is not None and load.waiting > 0
            if not waited and not choice.is_cold:
                expected = self._work_time(wanted)
                view.succeeded(ratio=work / max(0.001, choice.work))
                expected.learn(work, was_known=choice.is_known)

    def turned_away(self, choice: Choice, *, load: LoadReport | None) -> None:
        """The target itself said that it didn't run the request."""
        with self._lock:
            if load is not None:
                choice.view.told(load, self._clock.now())
            choice.view.done()

    def failed(self, choice: Choice, *, unreachable: bool) -> bool:
        """An exchange broke; returns whether the target is left alone for a time."""
        with self._lock:
            choice.view.done()
            return choice.view.failed(self._clock.now(), unreachable=unreachable)

    def dropped(self, choice: Choice) -> None:
        """An exchange ended without telling anything about the target."""
        with self._lock:
            choice.view.done()

    def _updated(self, record: TargetRecord, now: float) -> TargetView:
        view = self._views.get(record.instance)
        if view is None or view.record.born_ms != record.born_ms:
            view = TargetView(
                record=record,
                region=self._place.regions.get(record.domain, ""),
                cold_until=now,
            )
            self._turn_cold(view, now, record.cold_seconds)
        elif record != view.record:
            if not view.is_cold(now) or record.cold_seconds <= 0:
                self._turn_cold(view, now, record.cold_seconds)
            if record.cold_seconds > 0:
                view.objects.clear()
            view.record = record
        return view

    def _allowed(self, wanted: Wanted, now: float) -> list[TargetView]:
        return [
            view
            for view in self._services.get(wanted.service, ())
            if view.record.state in (TargetState.READY, TargetState.SILENT)
            and view.record.domain not in self._evacuated
            and view.record.instance not in wanted.avoid
            and (not wanted.homes or view.region in wanted.homes)
            and (not view.is_cold(now) or view.bears_one(now))
        ]

    def _turn_cold(self, view: TargetView, now: float, seconds: float) -> None:
        name = hash_of(self._place.host)
        level = share_of(name, hash_of(view.record.instance))
        view.turned_cold(now, until=now + seconds, level=level)

    def _cold_part(self, rule: ServiceRule) -> float:
        """Return this host's part of the requests per second a cold target bears."""
        hosts = self._entry_hosts()
        return COLD_SHARE * rule.cold_rate / hosts if hosts else 0.0

    def _best(
        self, wanted: Wanted, allowed: list[TargetView], now: float
    ) -> tuple[list[TargetView], Choice | None]:
        """Return the targets of the region that was chosen, and the best of them."""
        region = self._place.region
        warm = [view for view in allowed if not view.is_cold(now)]
        cold = [view for view in allowed if view.is_cold(now)]
        near = _without_bad([v for v in warm if v.region == region], now)
        far = _without_bad([v for v in warm if v.region != region], now)
        if far and (not near or self._moves(wanted, near, far, now)):
            return far, self._quickest_home(wanted, far, now)
        near += [view for view in cold if view.region == region or not near]
        return near, self._quickest(wanted, near, now)

    def _moves(
        self, wanted: Wanted, near: list[TargetView], far: list[TargetView], now: float
    ) -> bool:
        share = self._spill.observe(
            wanted.service, _load_of(near, now), first=self._missing_share(near, far)
        )
        return share_of(hash_of(wanted.affinity_key), hash_of("spill")) < share

    def _patience(self, wanted: Wanted, choice: Choice) -> float:
        """Return the longest wait that is worth it, in seconds."""
        objective = wanted.route.objective
        in_time = float("inf")
        if objective > 0:
            without_wait = choice.expected - choice.wait
            in_time = max(LEAST_PATIENCE * objective, objective - without_wait)
            in_time *= PATIENCE_BY_RANK ** min(wanted.rank, LAST_RANK)
        return min(in_time, wanted.left - choice.expected + choice.wait)

    def _quickest(
        self, wanted: Wanted, views: list[TargetView], now: float
    ) -> Choice | None:
        if not views:
            return None
        steady = [view for view in views if not view.is_cold(now)]
        home = self._by_rank(wanted, steady or views)[0]
        choices = [
            self._expect(wanted, view, now, is_home=view is home) for view in views
        ]
        return min(choices, key=lambda choice: choice.expected)

    def _quickest_home(
        self, wanted: Wanted, views: list[TargetView], now: float
    ) -> Choice | None:
        """Choose among few of another region's targets, so that they get warm."""
        homes = self._by_rank(wanted, views)[:HOMES_OF_AN_OBJECT]
        return self._quickest(wanted, homes, now)

    def _by_rank(self, wanted: Wanted, views: list[TargetView]) -> list[TargetView]:
        """Order targets by how much the object belongs to them, its home first."""
        object_hash = hash_of(wanted.affinity_key)
        return sorted(
            views,
            key=lambda v: rendezvous_score(object_hash, hash_of(v.record.instance)),
            reverse=True,
        )

    def _missing_share(self, near: list[TargetView], far: list[TargetView]) -> float:
        """Return the part of the requests for which the own region has no slots.

        It takes the regions' demand as equal, for want of anything known of it yet.
        """
        regions = len(set(self._place.regions.values()))
        slots = sum(view.slots for view in near)
        fair = (slots + sum(view.slots for view in far)) / regions
        return max(0.0, 1 - slots / fair)

    def _expect(
        self, wanted: Wanted, view: TargetView, now: float, *, is_home: bool
    ) -> Choice:
        times = self._work_time(wanted)
        cold = view.is_cold(now)
        known = not cold and (is_home or wanted.affinity_key in view.objects)
        work = times.of(is_known=known) * (COLD_SLOWNESS if cold else 1)
        slots = max(1, view.slots)
        ahead = max(0.0, view.occupancy(now) + 1 - slots)
        slowness = max(0.3, view.slowness)
        wait = ahead / slots * times.in_queue * slowness
        cost = FAILURE_COST * view.failure_share
        distance = self._distance(view)
        return Choice(
            view=view,
            expected=work * slowness + wait + distance + cost,
            wait=wait,
            work=work,
            is_known=known,
            is_far=view.region != self._place.region,
            is_cold=cold,
        )

    def _distance(self, view: TargetView) -> float:
        location = self._place
        if view.record.domain == location.domain:
            return 0.0
        if view.region == location.region:
            return location.domain_round_trip
        return self._distances.get(view.region, location.region_round_trip)

    def _work_time(self, wanted: Wanted) -> WorkTime:
        key = (wanted.route.name, wanted.service)
        times = self._work.get(key)
        if times is None:
            times = WorkTime.expected(wanted.route.objective)
            self._work[key] = times
        return times


def _load_of(views: list[TargetView], now: float) -> float:
    """Return the requests for each slot of ``views``."""
    return sum(view.occupancy(now) for view in views) / sum(v.slots for v in views)


def _without_bad(views: list[TargetView], now: float) -> list[TargetView]:
    """Leave out targets that fail, unless too few would be left for the others' load.

    When many look bad, the cause is more likely to be load or a link than they, and
    the rest would break down under what all of them got.
    """
    good = [view for view in views if _is_good(view, now)]
    if len(good) >= LEAST_GOOD_SHARE * len(views):
        return good
    return views


def _is_good(view: TargetView, now: float) -> bool:
    if now < view.ejected_until or view.record.state is TargetState.SILENT:
        return False
    return view.failure_share < FAILING_SHARE or view.in_flight == 0
