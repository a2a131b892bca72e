"""Operators' changes as stored in the replicated log, and their outcomes."""

from __future__ import annotations

from typing import Any

from chicoryhold.codec import message
from chicoryhold.routing.configuration import Configuration
from chicoryhold.state.targets import TargetRecord


@message
class Change:
    """One operator request.

    A resend with the same ``request_id`` gets the outcome of the first application;
    idempotent changes may have an empty one. ``based_on`` is the revision that the
    operator has seen; :class:`PutTable` requires it. ``body`` is an encoded message
    of one of the other types in this module.
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
    """Adds a key to an organisation; only its hexadecimal SHA-256 digest is stored."""

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

    ``share`` is the part of the requests, in [0, 1]. ``cap`` is the limit in requests
    per second.
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
    """Tells an entry host to accept no new callers and drain."""

    host: str


@message
class EndStop:
    host: str


@message
class PutConfiguration:
    """Replaces the configuration if its version is higher than the current one.

    ``text`` is the document as received, compressed, so that it can be read back
    unchanged.
    """

    configuration: Configuration
    text: bytes


@message
class RecordTargets:
    """Records the state that targets reported, or that they stopped reporting."""

    records: tuple[TargetRecord, ...]


@message
class EvacuateDomain:
    """Sends no requests to the targets of ``domain`` until :class:`EndEvacuation`."""

    domain: str


@message
class EndEvacuation:
    domain: str


@message
class Outcome:
    """The result of a change; resends with the same request id get the same one.

    ``revision`` is the revision that the change created, or the newest one if the
    change was refused. ``difference`` is a diff of the current and the proposed table
    if another operator has changed the table in the meantime.
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
    """Return the fields of ``outcome`` for a JSON response."""
    return {
        "accepted": outcome.accepted,
        "revision": outcome.revision,
        "reason": outcome.reason,
        "difference": outcome.difference,
    }
