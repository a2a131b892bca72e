"""Finds the faults of a run in its records, from what the sockets showed alone."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Sequence

import attrs

from bench.stops.leaving_rule import LateRequest, LeavingRule
from bench.stops.records import (
    Arrival,
    Ending,
    HostLife,
    Ledger,
    SentRequest,
)

LOSS_SLACK_SECONDS = 0.2
UNREAD_LIMIT_SECONDS = 1.0
DEADLINE_TOLERANCE_SECONDS = 0.1
EXCUSED_SEND_SECONDS = 3.0  # after the stop signal, if the target works until the end
EXCUSED_GRACE_SHARE = 5 / 6
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SUCCESS_STATUS = 200


class FaultKind(enum.Enum):
    """What a host did wrong."""

    LOST = "lost: read, and the connection ended without a complete answer"
    UNREAD = "unread: sent long before the end of the connection, and never read"
    BROKEN_OFF = "broken off: the target was at work, the host gave its own answer"
    REFUSED_AND_RUN = "refused and run: promised not to have run, but a target ran it"
    RUN_TWICE = "run twice: an unsafe request ran at two targets"
    WRONG_ANSWER = "wrong answer: no response, or not as long as the target's"
    AFTER_LEAVING = "after leaving: sent to a target that had said it leaves"
    NOT_IN_TIME = "not in time: killed at the end of the grace"
    ENDED_BY_ITSELF = "ended by itself: the process exited without a stop signal"


@attrs.frozen(kw_only=True)
class Fault:
    """One fault. Times are in seconds after the stop signal, ``None`` without one."""

    kind: FaultKind
    host: str
    life: int
    detail: str
    request_id: str = ""
    client: str = ""
    sent_after_stop: float | None = None
    ended_after_stop: float | None = None


class Judge:
    """Judges the records of a run that has ended.

    ``slack_seconds`` is the time before the end of a connection within which a request
    may stay unanswered.
    """

    def __init__(
        self, ledger: Ledger, *, grace_seconds: float,
        slack_seconds: float = LOSS_SLACK_SECONDS,
    ) -> None:  # fmt: skip
        self._ledger = ledger
        self._grace_seconds = grace_seconds
        self._slack_seconds = slack_seconds
        self._leaving_rule = LeavingRule(ledger)

    @property
    def faults(self) -> Sequence[Fault]:
        faults = [fault for life in self._ledger.lives for fault in _life_faults(life)]
        for request in self._ledger.requests:
            faults.extend(self._request_faults(request))
        faults.extend(map(_late_fault, self._leaving_rule.late_requests))
        return faults

    @property
    def bound_pairs(self) -> int:
        """The number of pairs of a process and a target that was to be avoided."""
        return self._leaving_rule.bound_pairs

    @property
    def unread(self) -> int:
        """The number of requests that no host read, whose clients may send again."""
        return sum(self._is_unread(request) for request in self._ledger.requests)

    def _arrivals(self, request: SentRequest) -> Sequence[Arrival]:
        return self._ledger.arrivals.get(request.request_id, ())

    def _is_unread(self, request: SentRequest) -> bool:
        return (
            request.ending is Ending.RESET
            and not request.received_bytes
            and not self._arrivals(request)
        )

    def _request_faults(self, request: SentRequest) -> Iterator[Fault]:
        """Yield the faults of one request: at most one of its loss."""
        kind = self._loss(request) or self._broken_off(request)
        if kind is not None:
            yield self._fault(kind, request)
        runs = sum(arrival.read_at is not None for arrival in self._arrivals(request))
        if not request.safe and runs and request.status in NOT_RUN_STATUSES:
            yield self._fault(FaultKind.REFUSED_AND_RUN, request)
        if not request.safe and runs > 1:
            yield self._fault(FaultKind.RUN_TWICE, request)
        if request.ending is Ending.GARBLED or _has_wrong_length(request):
            yield self._fault(FaultKind.WRONG_ANSWER, request)

    def _loss(self, request: SentRequest) -> FaultKind | None:
        if request.ending not in (Ending.CLOSED, Ending.RESET):
            return None
        if request.sent_at is None or self._is_excused(request, request.ended_at):
            return None
        if self._arrivals(request) or request.received_bytes:
            return FaultKind.LOST
        waited = request.ended_at - request.sent_at
        if request.ending is Ending.CLOSED and waited > self._slack_seconds:
            return FaultKind.LOST
        if self._is_unread(request) and waited > UNREAD_LIMIT_SECONDS:
            return FaultKind.UNREAD
        return None

    def _broken_off(self, request: SentRequest) -> FaultKind | None:
        """Return whether the host answered by itself after it broke off a target.

        A safe request may be tried at another target, whose answer makes up for it, and
        so does an answer of the host at the deadline.
        """
        stopped_at = request.life.stopped_at
        if request.ending is not Ending.ANSWERED or request.sealed:
            return None
        if stopped_at is None or self._is_excused(request, request.ended_at):
            return None
        for arrival in self._arrivals(request):
            broken_at = arrival.broken_at
            if broken_at is None or broken_at < stopped_at:
                continue
            if not self._is_excused(request, broken_at):
                return FaultKind.BROKEN_OFF
        return None

    def _is_excused(self, request: SentRequest, ended_at: float) -> bool:
        """Whether a request may have ended without an answer at ``ended_at``."""
        if request.sent_at is None:
            return True
        if ended_at >= request.deadline_at - DEADLINE_TOLERANCE_SECONDS:
            return True
        stopped_at = request.life.stopped_at
        if stopped_at is None or request.sent_at > stopped_at + EXCUSED_SEND_SECONDS:
            return False
        last_part_at = stopped_at + self._grace_seconds * EXCUSED_GRACE_SHARE
        return any(
            arrival.ended_at is None or arrival.ended_at >= last_part_at
            for arrival in self._arrivals(request)
        )

    def _fault(self, kind: FaultKind, request: SentRequest) -> Fault:
        life = request.life
        return Fault(
            kind=kind,
            host=life.host,
            life=life.number,
            detail=self._detail(request),
            request_id=request.request_id,
            client=request.client,
            sent_after_stop=life.after_stop(request.sent_at),
            ended_after_stop=life.after_stop(request.ended_at),
        )

    def _detail(self, request: SentRequest) -> str:
        """Say how the request ended and where it was then."""
        parts = [
            request.ending.value,
            _status(request),
            f"sent {request.body_bytes} body bytes",
            f"received {request.received_bytes} bytes",
            f"{request.received_body_bytes} of {request.answer_bytes} body bytes",
            *(_place(arrival, request) for arrival in self._arrivals(request)),
        ]
        return "; ".join(parts if self._arrivals(request) else (*parts, "no target"))


def _status(request: SentRequest) -> str:
    if request.status:
        return f"status {request.status}"
    return f"only {request.partial_head!r}" if request.partial_head else "no status"


def _place(arrival: Arrival, request: SentRequest) -> str:
    def seconds_before_end(moment: float) -> str:
        return f"{request.ended_at - moment:.3f} s before the end"

    text = f"at {arrival.target} {seconds_before_end(arrival.arrived_at)}"
    if arrival.answered_at is not None:
        return f"{text}, answered there {seconds_before_end(arrival.answered_at)}"
    if arrival.broken_at is not None:
        return f"{text}, broken off there {seconds_before_end(arrival.broken_at)}"
    return f"{text}, never answered there"


def _has_wrong_length(request: SentRequest) -> bool:
    """Whether a complete response isn't as long as the target's answer."""
    if request.ending is not Ending.ANSWERED or not request.sealed:
        return False
    return (
        request.status == SUCCESS_STATUS
        and request.received_body_bytes != request.answer_bytes
    )


def _late_fault(late: LateRequest) -> Fault:
    return Fault(
        kind=FaultKind.AFTER_LEAVING,
        host=late.host,
        life=late.life,
        detail=f"at {late.target}, sent {late.late_seconds} s after its answer",
        request_id=late.request_id,
    )


def _life_faults(life: HostLife) -> Iterator[Fault]:
    if life.killed:
        kind = FaultKind.NOT_IN_TIME
    elif life.stopped_at is None and life.exit_code is not None:
        kind = FaultKind.ENDED_BY_ITSELF
    else:
        return
    yield Fault(
        kind=kind,
        host=life.host,
        life=life.number,
        detail=f"exit code {life.exit_code}",
        ended_after_stop=life.after_stop(life.exited_at),
    )
