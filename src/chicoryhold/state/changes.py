"""Changes that operators make, as they stand in the log, and their outcomes."""

from __future__ import annotations

from typing import Any

from chicoryhold.codec import message
from chicoryhold.routing.configuration import Configuration
from chicoryhold.state.targets import TargetRecord


@message
class Change:
    """One operator request.

    ``request_id`` makes a resend return the first outcome; empty for a change that
    has the same effect however often it is made. ``based_on`` is the
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
class PutConfiguration:
    """Replaces the configuration if its version is higher than the one in force.

    ``text`` is the document as it was sent, compressed, to be read back whole.
    """

    configuration: Configuration
    text: bytes


@message
class RecordTargets:
    """What targets said of themselves, or that they fell silent."""

    records: tuple[TargetRecord, ...]


@message
class EvacuateDomain:
    """No request goes to the targets of ``domain`` until :class:`EndEvacuation`."""

    domain: str


@message
class EndEvacuation:
    domain: str


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
    | PlanStop | EndStop | PutConfiguration | RecordTargets | EvacuateDomain
    | EndEvacuation
)  # fmt: skip


def outcome_fields(outcome: Outcome) -> dict[str, Any]:
    """Return ``outcome`` as the fields of a JSON answer."""
    return {
        "accepted": outcome.accepted,
        "revision": outcome.revision,
        "reason": outcome.reason,
        "difference": outcome.difference,
    }
