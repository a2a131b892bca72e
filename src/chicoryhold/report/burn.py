"""How fast each service and organisation uses up its error budget.

Burn is the share of bad requests over the share that the objective allows: at 1 the
budget lasts exactly its period. The alarms follow Beyer et al., "The Site Reliability
Workbook" (2018), chapter 5.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from chicoryhold.report.samples import Sample

WINDOWS: Mapping[str, float] = {
    "5 min": 300.0,
    "1 h": 3_600.0,
    "6 h": 21_600.0,
    "3 d": 259_200.0,
}
FAST_BURN = 14.4
SLOW_BURN = 1.0
BAD_RESULTS = frozenset({"refused", "failed"})
NOT_COUNTED = frozenset({"rate_exceeded"})


@attrs.frozen(kw_only=True)
class Scope:
    """Whose requests a row counts; an empty organisation is the open routes."""

    service: str
    organisation: str


@attrs.frozen(kw_only=True)
class BurnRow:
    """One scope's requests and burn by window.

    ``budget_left`` is over the longest window, 1 for untouched and below 0 for
    overspent. ``rate_exceeded`` counts refusals that the table asks for.
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
    """Return a row for each scope, the worst first."""
    series = _series(samples)
    scopes = sorted({scope for scope, _ in series}, key=attrs.astuple)
    rows = [_row(scope, series, objective, now) for scope in scopes]
    return sorted(rows, key=lambda row: row.budget_left)


def worst_organisation(rows: Sequence[BurnRow]) -> str | None:
    """Return the organisation with the least budget left."""
    named = [row for row in rows if row.organisation]
    return min(named, key=lambda row: row.budget_left).organisation if named else None


_Series = dict[tuple[Scope, str], dict[str, list[Sample]]]


def _series(samples: Iterable[Sample]) -> _Series:
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
        burn[name] = _burn(counts, objective)
    whole = _counts(scope, series, now - max(WINDOWS.values()), now)
    return BurnRow(
        service=scope.service,
        organisation=scope.organisation,
        requests=round(sum(whole.values())),
        refused=round(whole.get("refused", 0)),
        failed=round(whole.get("failed", 0)),
        rate_exceeded=round(whole.get("rate_exceeded", 0)),
        burn=burn,
        budget_left=1 - burn["3 d"],
        alarm=_alarm(burn),
    )


def _counts(
    scope: Scope, series: _Series, start: float, end: float
) -> dict[str, float]:
    return {
        result: sum(increase(host, start, end) for host in hosts.values())
        for (owner, result), hosts in series.items()
        if owner == scope
    }


def increase(samples: Sequence[Sample], start: float, end: float) -> float:
    """Return how much a counter grew in a window.

    A counter that falls was restarted from zero. One that first appears inside the
    window has grown from zero as well.
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


def _burn(counts: Mapping[str, float], objective: float) -> float:
    counted = sum(n for result, n in counts.items() if result not in NOT_COUNTED)
    bad = sum(n for result, n in counts.items() if result in BAD_RESULTS)
    return bad / counted / (1 - objective) if counted else 0.0


def _alarm(burn: Mapping[str, float]) -> str:
    if min(burn["5 min"], burn["1 h"]) >= FAST_BURN:
        return "fast burn"
    if min(burn["6 h"], burn["3 d"]) >= SLOW_BURN:
        return "slow burn"
    return ""
