"""Error budget burn rates of services and organisations.

The burn rate is the fraction of bad requests (refused or failed) divided by the
fraction that the objective allows: at 1 the budget lasts exactly for its period. The
alarms follow Beyer et al., "The Site Reliability Workbook" (2018), chapter 5.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from chicoryhold.report.samples import Sample

# Lengths of the windows in seconds, by label.
WINDOWS: Mapping[str, float] = {
    "5 min": 300.0,
    "1 h": 3_600.0,
    "6 h": 21_600.0,
    "3 d": 259_200.0,
}
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 1.0
BAD_RESULTS = frozenset({"refused", "failed"})
EXCLUDED_RESULTS = frozenset({"rate_exceeded"})


@attrs.frozen(kw_only=True)
class Scope:
    """Whose requests a row counts. ``organisation`` is empty for open routes."""

    service: str
    organisation: str


@attrs.frozen(kw_only=True)
class BurnRow:
    """Request counts and burn rates of one scope.

    ``burn`` is the burn rate by window. ``budget_left`` is the remaining fraction of
    the error budget over the longest window: 1 if unused, below 0 if overspent.
    ``rate_exceeded`` counts refusals by the configured rate limits, which are excluded
    from the burn rate.
    """

    service: str
    organisation: str
    requests: int
    refused: int
    failed: int
    rate_exceeded: int
    burn: Mapping[str, float]
    budget_left: float
    alarm: str


def burn_rows(
    samples: Iterable[Sample], *, objective: float, now: float
) -> list[BurnRow]:
    """Return a row for each scope, sorted by the remaining budget, least first."""
    series = _group_samples(samples)
    scopes = sorted({scope for scope, _ in series}, key=attrs.astuple)
    rows = [_row(scope, series, objective, now) for scope in scopes]
    return sorted(rows, key=lambda row: row.budget_left)


def worst_organisation(rows: Sequence[BurnRow]) -> str | None:
    """Return the organisation with the least budget left."""
    named = [row for row in rows if row.organisation]
    return min(named, key=lambda row: row.budget_left).organisation if named else None


_Series = dict[tuple[Scope, str], dict[str, list[Sample]]]


def _group_samples(samples: Iterable[Sample]) -> _Series:
    """Group samples by scope and result, then by host, in order of time."""
    series: _Series = defaultdict(lambda: defaultdict(list))
    for sample in sorted(samples, key=lambda sample: sample.time):
        scope = Scope(service=sample.service, organisation=sample.organisation)
        series[scope, sample.result][sample.host].append(sample)
    return series


def _row(scope: Scope, series: _Series, objective: float, now: float) -> BurnRow:
    burn = {}
    for name, seconds in WINDOWS.items():
        counts = _counts(scope, series, now - seconds, now)
        burn[name] = _burn_rate(counts, objective)
    longest_window_counts = _counts(scope, series, now - max(WINDOWS.values()), now)
    return BurnRow(
        service=scope.service,
        organisation=scope.organisation,
        requests=round(sum(longest_window_counts.values())),
        refused=round(longest_window_counts.get("refused", 0)),
        failed=round(longest_window_counts.get("failed", 0)),
        rate_exceeded=round(longest_window_counts.get("rate_exceeded", 0)),
        burn=burn,
        budget_left=1 - burn["3 d"],
        alarm=_alarm(burn),
    )


def _counts(
    scope: Scope, series: _Series, start: float, end: float
) -> dict[str, float]:
    return {
        result: sum(increase(samples, start, end) for samples in hosts.values())
        for (series_scope, result), hosts in series.items()
        if series_scope == scope
    }


def increase(samples: Sequence[Sample], start: float, end: float) -> float:
    """Return by how much a counter increased in a window.

    A decrease means that the counter was reset to zero. A counter whose first sample
    is inside the window is taken to have started from zero.
    """
    total = 0.0
    previous = 0.0
    for sample in samples:
        if sample.time > end:
            break
        if sample.time > start:
            restarted = sample.value < previous
            total += sample.value if restarted else sample.value - previous
        previous = sample.value
    return total


def _burn_rate(counts: Mapping[str, float], objective: float) -> float:
    counted = sum(n for result, n in counts.items() if result not in EXCLUDED_RESULTS)
    bad = sum(n for result, n in counts.items() if result in BAD_RESULTS)
    return bad / counted / (1 - objective) if counted else 0.0


def _alarm(burn: Mapping[str, float]) -> str:
    if min(burn["5 min"], burn["1 h"]) >= FAST_BURN_RATE:
        return "fast burn"
    if min(burn["6 h"], burn["3 d"]) >= SLOW_BURN_RATE:
        return "slow burn"
    return ""
