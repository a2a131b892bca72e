"""Changes that operators make, as they stand in the log, and their outcomes."""

from __future__ import annotations

from typing import Any

from chicoryhold.codec import message


@message
class Change:
    """One operator request.

    ``request_id`` makes a resend return the first outcome. ``based_on`` is the
    revision that the operator saw, required for the table. ``body`` is an encoded
    body message from this module.
    """

    request_id: str
    operator: str
    body: bytes
    based_on: int | None = None


@message
class CreateOrganisation:
    name: str


@message
class GiveKey:
    """Only the SHA-256 digest of the key is stored, hexadecimal."""

    organisation: str
    key_id: str
    digest: str


@message
class WithdrawKey:
    key_id: str


@message
class PutTable:
    """Replaces the whole table; ``text`` is CSV."""

    text: str


@message
class StartShift:
    """Moves a share of a service's requests to another failure domain.

    ``share`` is in [0, 1], ``cap`` in requests per second.
    """

    name: str
    service: str
    source: str
    destination: str
    share: float
    cap: float


@message
class EndShift:
    name: str


@message
class PlanStop:
    """Tells an entry host to stop taking new callers and drain."""

    host: str


@message
class EndStop:
    host: str


@message
class Outcome:
    """The result of a change, the same for each resend of its request id.

    ``revision`` is the one that the change made, or the newest if it was refused.
    ``difference`` shows what a conflicting operator changed meanwhile.
    """

    accepted: bool
    revision: int
    reason: str = ""
    difference: str = ""


Body = (
    CreateOrganisation | GiveKey | WithdrawKey | PutTable | StartShift | EndShift
    | PlanStop | EndStop
)  # fmt: skip


def outcome_fields(outcome: Outcome) -> dict[str, Any]:
    """Return ``outcome`` as the fields of a JSON answer."""
    return {
        "accepted": outcome.accepted,
        "revision": outcome.revision,
        "reason": outcome.reason,
        "difference": outcome.difference,
    }
