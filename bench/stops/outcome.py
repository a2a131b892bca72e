"""The result of a run with stopping hosts."""

from __future__ import annotations

import enum
import json
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import attrs

from bench.stops.judge import Fault, Judge
from bench.stops.records import Ending, Ledger, SentRequest


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a run.

    ``results`` counts requests by status, or by the end of their connection, and
    ``results_after_stop`` those among them that were sent after the stop signal.
    ``unsent`` counts requests whose connection ended before they were sent in full,
    ``unread`` those that no host read, ``refused_connects`` connections to hosts that
    weren't there. ``successors`` counts the targets that took another's place,
    ``served_by_successors`` the requests that reached one of them. ``bound_pairs``
    counts the processes and targets that had said they leave, for which a request could
    have been late. ``lag_seconds`` is how late the run's own threads were.
    """

    seed: int
    grace_seconds: float
    clients: Mapping[str, int]
    requests: int
    results: Mapping[str, int]
    results_after_stop: Mapping[str, int]
    unsent: int
    unread: int
    refused_connects: int
    exits_after_stop: Sequence[float | None]
    exit_codes: Mapping[str, int]
    version: int
    successors: int
    served_by_successors: int
    bound_pairs: int
    lag_seconds: float
    fault_counts: Mapping[str, int]
    fault_clients: Mapping[str, int]
    faults: Sequence[Fault]

    def to_json(self) -> str:
        fields = attrs.asdict(self, value_serializer=_serialize)
        return json.dumps(fields, indent=1)


def summarize(
    ledger: Ledger, judge: Judge, *, seed: int, grace_seconds: float,
    clients: Mapping[str, int], version: int, successors: Sequence[str],
    lag_seconds: float,
) -> Outcome:  # fmt: skip
    """Return the outcome that the records of a run show."""
    requests, lives, faults = ledger.requests, ledger.lives, judge.faults
    return Outcome(
        seed=seed,
        grace_seconds=grace_seconds,
        clients=clients,
        requests=len(requests),
        results=_count_results(requests),
        results_after_stop=_count_results(
            request for request in requests if request.sent_after_stop
        ),
        unsent=sum(request.sent_at is None for request in requests),
        unread=judge.unread,
        refused_connects=ledger.refused_connects,
        exits_after_stop=[life.after_stop(life.exited_at) for life in lives],
        exit_codes=Counter(str(life.exit_code) for life in lives),
        version=version,
        successors=len(successors),
        served_by_successors=_count_served(ledger, successors),
        bound_pairs=judge.bound_pairs,
        lag_seconds=round(lag_seconds, 3),
        fault_counts=Counter(fault.kind.name for fault in faults),
        fault_clients=Counter(fault.client for fault in faults),
        faults=faults,
    )


def _count_results(requests: Iterable[SentRequest]) -> Mapping[str, int]:
    return Counter(map(_result, requests))


def _count_served(ledger: Ledger, targets: Sequence[str]) -> int:
    return sum(
        arrival.target in targets
        for arrivals in ledger.arrivals.values()
        for arrival in arrivals
    )


def _result(request: SentRequest) -> str:
    if request.ending is Ending.ANSWERED:
        return str(request.status)
    return request.ending.name if request.ending else "OPEN"


def _serialize(instance: object, attribute: object, value: object) -> object:
    return value.name if isinstance(value, enum.Enum) else value
