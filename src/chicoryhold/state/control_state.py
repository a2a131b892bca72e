"""The control state: a deterministic function of the accepted changes.

Control replicas and entry hosts apply the same changes with the same code. A hash
chain over the changes shows whether two of them have the same state.
"""

from __future__ import annotations

import difflib
import hashlib

import attrs

from chicoryhold.codec import decode, encode
from chicoryhold.routing.configuration import Configuration
from chicoryhold.state.changes import (
    Change,
    CreateOrganisation,
    EndEvacuation,
    EndShift,
    EndStop,
    EvacuateDomain,
    GiveKey,
    Outcome,
    PlanStop,
    PutConfiguration,
    PutTable,
    RecordTargets,
    StartShift,
    WithdrawKey,
)
from chicoryhold.state.delta import StateDelta
from chicoryhold.state.objects import StateObjects
from chicoryhold.state.records import KeyRecord, RequestRecord, StateImage
from chicoryhold.state.request_records import MAX_RECORDS, RequestRecords
from chicoryhold.state.table import Table, check_table
from chicoryhold.state.targets import TargetRecords


@attrs.frozen(kw_only=True)
class _Refusal(Exception):
    reason: str
    difference: str = ""


class ControlState:
    """Applies changes in order. Each accepted change increments the revision.

    The outcomes of the newest request ids are kept, ``max_request_records`` at most.
    """

    def __init__(self, *, max_request_records: int = MAX_RECORDS) -> None:
        self._max_request_records = max_request_records
        self._revision = 0
        self._digest = b""
        self._objects = StateObjects()
        self._requests = RequestRecords(max_records=max_request_records)
        self._configuration_text = b""

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def digest(self) -> bytes:
        """The hash chain over all accepted changes."""
        return self._digest

    @property
    def checksum(self) -> int:
        """A checksum over all that entry hosts decide by."""
        return self._objects.checksum

    @property
    def oldest_base(self) -> int:
        """The oldest revision for which :meth:`delta` is known."""
        return self._objects.oldest_base

    @property
    def table(self) -> Table:
        return self._objects.table

    @property
    def table_text(self) -> str:
        return self._objects.table_text

    @property
    def table_revision(self) -> int:
        """The revision that last changed the table."""
        return self._objects.table_revision

    @property
    def organisations(self) -> frozenset[str]:
        return frozenset(self._objects.organisations)

    @property
    def keys(self) -> tuple[KeyRecord, ...]:
        return tuple(self._objects.keys.values())

    @property
    def shifts(self) -> tuple[StartShift, ...]:
        return tuple(self._objects.shifts.values())

    @property
    def stops(self) -> frozenset[str]:
        """Entry hosts with a planned stop."""
        return frozenset(self._objects.stops)

    @property
    def configuration(self) -> Configuration:
        """The current configuration; version 0 if none has been accepted yet."""
        return self._objects.configuration

    @property
    def configuration_text(self) -> bytes:
        """The compressed document that :attr:`configuration` was read from."""
        return self._configuration_text

    @property
    def targets(self) -> TargetRecords:
        return self._objects.targets

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get no requests."""
        return frozenset(self._objects.evacuated)

    def key_by_digest(self, digest: str) -> KeyRecord | None:
        """Return the key whose hexadecimal SHA-256 is ``digest``, even if withdrawn."""
        return self._objects.keys.get(digest)

    def apply(self, change: Change) -> Outcome:
        """Apply ``change``; a resend returns the outcome of the first application."""
        body_digest = hashlib.sha256(change.body).digest()
        previous = self._requests.get(change.request_id) if change.request_id else None
        if previous is not None:
            return self._outcome_of_resend(previous, body_digest)
        try:
            self._apply_body(decode(change.body), change.based_on)
            self._advance_revision(change)
            outcome = Outcome(accepted=True, revision=self._revision)
        except _Refusal as refusal:
            outcome = Outcome(
                accepted=False,
                revision=self._revision,
                reason=refusal.reason,
                difference=refusal.difference,
            )
        if change.request_id:
            self._requests.put(change.request_id, digest=body_digest, outcome=outcome)
        return outcome

    def image(self, *, for_replica: bool = True) -> bytes:
        """Return the encoded state for a snapshot.

        Entry hosts receive only accepted changes and never a resend, and nobody reads
        the configuration back from them, so images for them omit the request records
        and the configuration's text.
        """
        objects = self._objects
        return encode(
            StateImage(
                revision=self._revision,
                digest=self._digest,
                table=objects.table_text,
                table_revision=objects.table_revision,
                organisations=tuple(sorted(objects.organisations)),
                keys=objects.keys,
                shifts=objects.shifts,
                stops=tuple(sorted(objects.stops)),
                requests=dict(self._requests.records) if for_replica else {},
                configuration=objects.configuration,
                configuration_text=self._configuration_text if for_replica else b"",
                targets=tuple(objects.targets),
                evacuated=tuple(sorted(objects.evacuated)),
            )
        )

    def load(self, data: bytes) -> None:
        """Replace the state by ``data`` from :meth:`image`, or reset it if empty."""
        if not data:
            self.__init__(max_request_records=self._max_request_records)
            return
        image: StateImage = decode(data)
        self._objects = StateObjects.of(image)
        self._requests.replace(image.requests)
        self._configuration_text = image.configuration_text
        # Last: other threads take a revision above 0 to mean that the rest is there.
        self._digest = image.digest
        self._revision = image.revision

    def delta(self, *, after: int) -> StateDelta:
        """Return what differs from the revision ``after`` of this state.

        ``after`` must be at least :attr:`oldest_base`.
        """
        return self._objects.delta(
            after=after, revision=self._revision, digest=self._digest
        )

    def apply_delta(self, delta: StateDelta) -> bool:
        """Apply ``delta``; return whether the result is the state it was made from.

        The revision of this state must be between the two of ``delta``.
        """
        is_equal = self._objects.apply_delta(delta)
        # Last: other threads take a new revision to mean that the rest is there.
        self._digest = delta.digest
        self._revision = delta.revision
        return is_equal

    def _outcome_of_resend(
        self, previous: RequestRecord, body_digest: bytes
    ) -> Outcome:
        if previous.digest == body_digest:
            return previous.outcome
        return Outcome(
            accepted=False,
            revision=self._revision,
            reason="this request id was used for another change: use a new one",
        )

    def _advance_revision(self, change: Change) -> None:
        self._revision += 1
        self._digest = hashlib.sha256(self._digest + encode(change)).digest()

    def _apply_body(self, body: object, based_on: int | None) -> None:
        objects, revision = self._objects, self._revision + 1
        match body:
            case CreateOrganisation():
                self._create_organisation(body, revision)
            case GiveKey():
                self._give_key(body, revision)
            case WithdrawKey():
                self._withdraw_key(body, revision)
            case PutTable():
                self._put_table(body, based_on, revision)
            case StartShift():
                self._start_shift(body, revision)
            case EndShift():
                self._end_shift(body, revision)
            case PlanStop():
                objects.put_stops(self.stops | {body.host}, revision)
            case EndStop():
                objects.put_stops(self.stops - {body.host}, revision)
            case PutConfiguration():
                self._put_configuration(body, revision)
            case RecordTargets():
                objects.record_targets(body.records, revision)
            case EvacuateDomain():
                objects.put_evacuated(self.evacuated | {body.domain}, revision)
            case EndEvacuation():
                objects.put_evacuated(self.evacuated - {body.domain}, revision)
            case _:
                raise _Refusal(reason=f"{type(body).__name__} is not a change")

    def _create_organisation(self, body: CreateOrganisation, revision: int) -> None:
        if body.name in self._objects.organisations:
            raise _Refusal(reason=f"organisation {body.name!r} exists already")
        self._objects.add_organisation(body.name, revision)

    def _give_key(self, body: GiveKey, revision: int) -> None:
        if body.organisation not in self._objects.organisations:
            raise _Refusal(
                reason=f"organisation {body.organisation!r} doesn't exist: create it"
            )
        if body.digest in self._objects.keys:
            raise _Refusal(reason="this key was given before: give a new one")
        record = KeyRecord(key_id=body.key_id, organisation=body.organisation)
        self._objects.put_key(body.digest, record, revision)

    def _withdraw_key(self, body: WithdrawKey, revision: int) -> None:
        for digest, record in self._objects.keys.items():
            if record.key_id == body.key_id:
                withdrawn = attrs.evolve(record, withdrawn=True)
                self._objects.put_key(digest, withdrawn, revision)
                return
        raise _Refusal(reason=f"key {body.key_id!r} doesn't exist: list the keys")

    def _put_configuration(self, body: PutConfiguration, revision: int) -> None:
        # An older or equal version is acknowledged without effect. It was accepted
        # before or is superseded by a higher version, so the sender must not retry.
        if body.configuration.version > self.configuration.version:
            self._objects.put_configuration(body.configuration, revision)
            self._configuration_text = body.text

    def _put_table(self, body: PutTable, based_on: int | None, revision: int) -> None:
        table_revision = self._objects.table_revision
        if based_on is None or not table_revision <= based_on <= self._revision:
            raise _Refusal(
                reason=(
                    f"the table was changed in revision {table_revision}, after "
                    f"revision {based_on}: get it again and repeat your edit"
                ),
                difference=text_difference(self.table_text, body.text),
            )
        faults = check_table(body.text)
        if faults:
            raise _Refusal(reason="; ".join(str(fault) for fault in faults))
        self._objects.put_table(body.text, revision)

    def _start_shift(self, body: StartShift, revision: int) -> None:
        if not 0 <= body.share <= 1 or body.cap <= 0:
            raise _Refusal(
                reason="a shift needs a share from 0 to 1 and a cap above 0 requests/s"
            )
        self._objects.put_shifts(self._objects.shifts | {body.name: body}, revision)

    def _end_shift(self, body: EndShift, revision: int) -> None:
        shifts = dict(self._objects.shifts)
        if shifts.pop(body.name, None) is None:
            raise _Refusal(reason=f"shift {body.name!r} doesn't exist: list the shifts")
        self._objects.put_shifts(shifts, revision)


def text_difference(old: str, new: str) -> str:
    """Return a unified diff of two table texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "current", "proposed", lineterm="", n=0
    )
    return "\n".join(lines)
