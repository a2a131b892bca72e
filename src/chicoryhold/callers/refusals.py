"""Refusals: responses of chicoryhold itself in place of a target's response."""

from __future__ import annotations

import enum

import attrs

STOPPING_RETRY_AFTER_SECONDS = 0.05  # other hosts can take the request at once


class RunStatus(enum.Enum):
    """Whether the refused request ran at a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RefusalKind(enum.Enum):
    """Why a request was refused, with the HTTP status of the response."""

    BAD_REQUEST = ("bad_request", 400)
    KEY_MISSING = ("key_missing", 401)
    KEY_REJECTED = ("key_rejected", 403)
    NO_ROUTE = ("no_route", 404)
    IN_PROGRESS = ("in_progress", 409)
    KEY_REUSED = ("idempotency_key_reused", 422)
    RATE_EXCEEDED = ("rate_exceeded", 429)
    ANSWER_BROKEN = ("answer_broken", 502)
    NO_TARGET = ("no_target", 503)
    QUARANTINED = ("quarantined", 503)
    OVERLOADED = ("overloaded", 503)
    NOT_READY = ("not_ready", 503)
    STOPPING = ("stopping", 503)
    DEADLINE_PASSED = ("deadline_passed", 503)
    TIMED_OUT = ("timed_out", 504)

    @property
    def label(self) -> str:
        return self.value[0]

    @property
    def status(self) -> int:
        return self.value[1]


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a request was refused. ``message`` tells the caller what to do about it.

    ``retry_after`` is in seconds, 0 for none. ``proved`` means that ``ran`` holds for
    every attempt with the same idempotency key, not only for this one.
    """

    kind: RefusalKind
    ran: RunStatus
    message: str
    retry_after: float = 0.0
    proved: bool = False


def stopping_refusal() -> Refusal:
    """Return the refusal of a host that may end before the request's deadline."""
    return Refusal(
        kind=RefusalKind.STOPPING,
        ran=RunStatus.NOT_RUN,
        message="this entry host may end before the deadline: use another one",
        retry_after=STOPPING_RETRY_AFTER_SECONDS,
    )
