"""The targets of this host's copy of the control state, as this host sees them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from chicoryhold.routing.configuration import ServiceRule
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.routing.target_view import TargetView
from chicoryhold.state.targets import TargetRecord, TargetState

COLD_RATE_FRACTION = 0.8  # of a service's cold_rate, sent by all hosts together
_AVAILABLE = (TargetState.READY, TargetState.SILENT)


class TargetViews:
    """The views of all targets that aren't gone.

    Any thread may read; calls that change something must not overlap.
    """

    def __init__(
        self, *, regions: Mapping[str, str], statements: TargetStatements
    ) -> None:
        self._regions = regions
        self._statements = statements
        self._by_instance: dict[str, TargetView] = {}
        self._by_address: dict[str, TargetView] = {}
        self._staying: dict[str, list[TargetView]] = {}
        self._open: dict[str, list[TargetView]] = {}
        self._left_out: Counter[str] = Counter()
        self._evacuated: frozenset[str] = frozenset()

    @property
    def by_instance(self) -> dict[str, TargetView]:
        return self._by_instance

    def at(self, address: str) -> TargetView | None:
        """Return the view of the target at ``address``, if there is one."""
        return self._by_address.get(address)

    def staying(self, service: str) -> list[TargetView]:
        """Return the targets of ``service`` that haven't said that they leave."""
        return self._staying.get(service, [])

    def open(self, service: str) -> list[TargetView]:
        """Return those of them that the control state lets get requests."""
        return self._open.get(service, [])

    def left_out(self, service: str) -> int:
        """Return how many targets of ``service`` are left out only since they leave.

        By the control state, they could get requests.
        """
        return self._left_out.get(service, 0)

    @property
    def left_out_count(self) -> int:
        """The number of such targets of all services."""
        return self._left_out.total()

    def is_open(self, view: TargetView) -> bool:
        """Return whether a new request may still be sent to ``view``."""
        return (
            self._by_instance.get(view.record.instance) is view
            and self._is_available(view)
            and not self._statements.is_leaving(view.record)
            and not self._statements.back_off_seconds(view.record)
        )

    def update(
        self, records: Iterable[TargetRecord], *, evacuated: frozenset[str],
        service_rule: Callable[[str], ServiceRule], now: float,
    ) -> None:  # fmt: skip
        """Apply the current targets, evacuated domains and service rules."""
        readmitted = self._evacuated - evacuated
        self._evacuated = evacuated
        views = {}
        for record in records:
            if record.state is not TargetState.GONE:
                rule = service_rule(record.service)
                view = self._refreshed(record, now)
                view.cold_rate = COLD_RATE_FRACTION * rule.cold_rate
                if record.domain in readmitted:
                    # The target may have restarted without being reported.
                    seconds = max(rule.cold_seconds, view.cold_until - now)
                    view.cold_until = now + seconds
                    view.recent_keys.clear()
                views[record.instance] = view
        self._by_instance = views
        self._by_address = {view.record.address: view for view in views.values()}
        self.leave_out_leaving()

    def leave_out_leaving(self) -> None:
        """Apply which targets have said that they leave."""
        staying: dict[str, list[TargetView]] = {}
        available: dict[str, list[TargetView]] = {}
        left_out: Counter[str] = Counter()
        for view in self._by_instance.values():
            service = view.record.service
            if self._statements.is_leaving(view.record):
                left_out[service] += self._is_available(view)
                continue
            staying.setdefault(service, []).append(view)
            if self._is_available(view):
                available.setdefault(service, []).append(view)
        self._staying = staying
        self._open = available
        self._left_out = left_out

    def _is_available(self, view: TargetView) -> bool:
        """Return whether the control state lets ``view`` get requests."""
        return (
            view.record.state in _AVAILABLE
            and view.record.domain not in self._evacuated
        )

    def _refreshed(self, record: TargetRecord, now: float) -> TargetView:
        view = self._by_instance.get(record.instance)
        if view is None or view.record.born_ms != record.born_ms:
            view = TargetView(
                record=record,
                region=self._regions.get(record.domain, ""),
                cold_until=now,
            )
            view.cold_until = now + record.cold_seconds
        elif record != view.record:
            if not view.is_cold(now) or record.cold_seconds <= 0:
                view.cold_until = now + record.cold_seconds
            if record.cold_seconds > 0:
                view.recent_keys.clear()
            view.record = record
        return view
