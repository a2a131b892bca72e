"""Finds requests that reached a target later than allowed after it said it leaves."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

import attrs

from bench.stops.records import Arrival, Ending, HostLife, Ledger, SentRequest

DRAIN_SECONDS = 2.5


@attrs.frozen(kw_only=True)
class LateRequest:
    """A request that a host sent to a target that it knew to leave.

    ``late_seconds`` is how long after the host's first such answer its client sent it.
    """

    host: str
    life: int
    target: str
    request_id: str
    late_seconds: float


@attrs.frozen
class _Pair:
    host: str
    life: int
    target: str


class LeavingRule:
    """Judges the records of a run that has ended.

    The rule binds a host from ``drain_seconds`` after it passed on an answer that says
    so, until the process ends or stands still.
    """

    def __init__(self, ledger: Ledger, *, drain_seconds: float = DRAIN_SECONDS) -> None:
        self._ledger = ledger
        self._drain_seconds = drain_seconds
        self._lives: Mapping[str, list[HostLife]] = defaultdict(list)
        for life in ledger.lives:
            self._lives[life.host].append(life)
        self._passed_on = self._moments_of_passing_on()

    @property
    def bound_pairs(self) -> int:
        """The number of pairs of a process and a target that the rule bound."""
        return sum(self._is_bound(pair) for pair in self._passed_on)

    @property
    def late_requests(self) -> Sequence[LateRequest]:
        return [
            late for request in self._ledger.requests for late in self._late(request)
        ]

    def _moments_of_passing_on(self) -> Mapping[_Pair, Sequence[float]]:
        moments: dict[_Pair, list[float]] = defaultdict(list)
        for request in self._ledger.requests:
            if request.ending is Ending.ANSWERED and request.says_leaving:
                pair = _pair(request.life, request.answered_by)
                moments[pair].append(request.ended_at)
        return moments

    def _is_bound(self, pair: _Pair) -> bool:
        """Whether the process was sent another request when the rule bound it."""
        moments = self._passed_on[pair]
        return any(
            request.began_at is not None
            and (request.life.host, request.life.number) == (pair.host, pair.life)
            and self._binding_moment(request.life, moments, request.began_at)
            for request in self._ledger.requests
        )

    def _late(self, request: SentRequest) -> Iterator[LateRequest]:
        if request.began_at is None:
            return
        for arrival in self._ledger.arrivals.get(request.request_id, ()):
            life = self._sender(request, arrival)
            moments = self._passed_on.get(_pair(life, arrival.target), ())
            moment = self._binding_moment(
                life, moments, request.began_at, until=arrival.arrived_at
            )
            if moment is not None:
                yield LateRequest(
                    host=life.host,
                    life=life.number,
                    target=arrival.target,
                    request_id=request.request_id,
                    late_seconds=round(request.began_at - moment, 3),
                )

    def _sender(self, request: SentRequest, arrival: Arrival) -> HostLife:
        """Return the process that a request came from, which may have been relayed."""
        lives = [
            life
            for life in self._lives.get(arrival.source, ())
            if life.started_at <= arrival.arrived_at
        ]
        return lives[-1] if lives else request.life

    def _binding_moment(
        self, life: HostLife, moments: Sequence[float], sent_at: float, *,
        until: float | None = None,
    ) -> float | None:  # fmt: skip
        """Return the first of ``moments`` that binds a request sent at ``sent_at``."""
        last_at = sent_at if until is None else until
        binding = (
            moment
            for moment in moments
            if sent_at - moment > self._drain_seconds
            and not life.was_frozen(moment, last_at)
        )
        return min(binding, default=None)


def _pair(life: HostLife, target: str) -> _Pair:
    return _Pair(host=life.host, life=life.number, target=target)
