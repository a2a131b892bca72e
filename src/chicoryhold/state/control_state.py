"""The control state: a deterministic function of the accepted changes.

Control replicas and entry hosts apply the same changes with the same code. A hash
chain over the changes shows whether two of them have the same state.
"""

from __future__ import annotations

import difflib
import hashlib

import attrs

from chicoryhold.codec import decode, encode, message
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
from chicoryhold.state.table import Table, check_table, parse_table
from chicoryhold.state.targets import TargetRecord, TargetRecords

MAX_REQUEST_RECORDS = 100_000
EMPTY_TABLE = "scope,name,field,value,unit\n"
EMPTY_CONFIGURATION = Configuration(version=0)


@message
class KeyRecord:
    """A key of an organisation; ``withdrawn`` never becomes false again."""

    key_id: str
    organisation: str
    withdrawn: bool = False


@message
class RequestRecord:
    """The outcome for a request id.

    ``digest`` is the digest of the change's body. It distinguishes a resend from a
    reuse of the id for another change.
    """

    digest: bytes
    outcome: Outcome


@message
class StateImage:
    """The complete control state, as stored in snapshots."""

    revision: int
    digest: bytes
    table: str
    table_revision: int
    organisations: tuple[str, ...]
    keys: dict[str, KeyRecord]
    shifts: dict[str, StartShift]
    stops: tuple[str, ...]
    requests: dict[str, RequestRecord]
    configuration: Configuration = EMPTY_CONFIGURATION
    configuration_text: bytes = b""
    targets: tuple[TargetRecord, ...] = ()
    evacuated: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class _Refusal(Exception):
    reason: str
    difference: str = ""


class ControlState:
    """Applies changes in order. Each accepted change increments the revision.

    The outcomes of the newest ``max_request_records`` request ids are kept.
    """

    def __init__(self, *, max_request_records: int = MAX_REQUEST_RECORDS) -> None:
        self._max_request_records = max_request_records
        self._revision = 0
        self._digest = b""
        self._table_text = EMPTY_TABLE
        self._table = Table()
        self._table_revision = 0
        self._organisations: set[str] = set()
        self._keys: dict[str, KeyRecord] = {}
        self._shifts: dict[str, StartShift] = {}
        self._stops: set[str] = set()
        self._requests: dict[str, RequestRecord] = {}
        self._configuration = EMPTY_CONFIGURATION
        self._configuration_text = b""
        self._targets = TargetRecords()
        self._evacuated: set[str] = set()

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def digest(self) -> bytes:
        """The hash chain over all accepted changes."""
        return self._digest

    @property
    def table(self) -> Table:
        return self._table

    @property
    def table_text(self) -> str:
        return self._table_text

    @property
    def table_revision(self) -> int:
        """The revision that last changed the table."""
        return self._table_revision

    @property
    def organisations(self) -> frozenset[str]:
        return frozenset(self._organisations)

    @property
    def keys(self) -> tuple[KeyRecord, ...]:
        return tuple(self._keys.values())

    @property
    def shifts(self) -> tuple[StartShift, ...]:
        return tuple(self._shifts.values())

    @property
    def stops(self) -> frozenset[str]:
        """Entry hosts with a planned stop."""
        return frozenset(self._stops)

    @property
    def configuration(self) -> Configuration:
        """The current configuration; version 0 if none has been accepted yet."""
        return self._configuration

    @property
    def configuration_text(self) -> bytes:
        """The compressed document that :attr:`configuration` was read from."""
        return self._configuration_text

    @property
    def targets(self) -> TargetRecords:
        return self._targets

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get no requests."""
        return frozenset(self._evacuated)

    def key_by_digest(self, digest: str) -> KeyRecord | None:
        """Return the key whose hexadecimal SHA-256 is ``digest``, even if withdrawn."""
        return self._keys.get(digest)

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
            self._store_outcome(change.request_id, body_digest, outcome)
        return outcome

    def image(self, *, for_replica: bool = True) -> bytes:
        """Return the encoded state for a snapshot.

        Entry hosts receive only accepted changes and never a resend, and nobody reads
        the configuration back from them, so images for them omit the request records
        and the configuration's text.
        """
        return encode(
            StateImage(
                revision=self._revision,
                digest=self._digest,
                table=self._table_text,
                table_revision=self._table_revision,
                organisations=tuple(sorted(self._organisations)),
                keys=self._keys,
                shifts=self._shifts,
                stops=tuple(sorted(self._stops)),
                requests=self._requests if for_replica else {},
                configuration=self._configuration,
                configuration_text=self._configuration_text if for_replica else b"",
                targets=tuple(self._targets),
                evacuated=tuple(sorted(self._evacuated)),
            )
        )

    def load(self, data: bytes) -> None:
        """Replace the state by ``data`` from :meth:`image`, or reset it if empty."""
        if not data:
            self.__init__(max_request_records=self._max_request_records)
            return
        image: StateImage = decode(data)
        self._table_text = image.table
        self._table = parse_table(image.table)
        self._table_revision = image.table_revision
        self._organisations = set(image.organisations)
        self._keys = dict(image.keys)
        self._shifts = dict(image.shifts)
        self._stops = set(image.stops)
        self._requests = dict(image.requests)
        self._configuration = image.configuration
        self._configuration_text = image.configuration_text
        self._targets = TargetRecords(image.targets)
        self._evacuated = set(image.evacuated)
        # Last: other threads take a revision above 0 to mean that the rest is there.
        self._digest = image.digest
        self._revision = image.revision

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

    def _store_outcome(self, request_id: str, digest: bytes, outcome: Outcome) -> None:
        self._requests[request_id] = RequestRecord(digest=digest, outcome=outcome)
        if len(self._requests) > self._max_request_records:
            del self._requests[next(iter(self._requests))]

    def _apply_body(self, body: object, based_on: int | None) -> None:
        match body:
            case CreateOrganisation():
                self._create_organisation(body)
            case GiveKey():
                self._give_key(body)
            case WithdrawKey():
                self._withdraw_key(body)
            case PutTable():
                self._put_table(body, based_on)
            case StartShift():
                self._start_shift(body)
            case EndShift():
                self._end_shift(body)
            case PlanStop():
                self._stops.add(body.host)
            case EndStop():
                self._stops.discard(body.host)
            case PutConfiguration():
                self._put_configuration(body)
            case RecordTargets():
                for record in body.records:
                    self._targets.put(record)
            case EvacuateDomain():
                self._evacuated.add(body.domain)
            case EndEvacuation():
                self._evacuated.discard(body.domain)
            case _:
                raise _Refusal(reason=f"{type(body).__name__} is not a change")

    def _create_organisation(self, body: CreateOrganisation) -> None:
        if body.name in self._organisations:
            raise _Refusal(reason=f"organisation {body.name!r} exists already")
        self._organisations.add(body.name)

    def _give_key(self, body: GiveKey) -> None:
        if body.organisation not in self._organisations:
            raise _Refusal(
                reason=f"organisation {body.organisation!r} doesn't exist: create it"
            )
        if body.digest in self._keys:
            raise _Refusal(reason="this key was given before: give a new one")
        self._keys[body.digest] = KeyRecord(
            key_id=body.key_id, organisation=body.organisation
        )

    def _withdraw_key(self, body: WithdrawKey) -> None:
        for digest, record in self._keys.items():
            if record.key_id == body.key_id:
                self._keys[digest] = attrs.evolve(record, withdrawn=True)
                return
        raise _Refusal(reason=f"key {body.key_id!r} doesn't exist: list the keys")

    def _put_configuration(self, body: PutConfiguration) -> None:
        # An older or equal version is acknowledged without effect. It was accepted
        # before or is superseded by a higher version, so the sender must not retry.
        if body.configuration.version > self._configuration.version:
            self._configuration = body.configuration
            self._configuration_text = body.text

    def _put_table(self, body: PutTable, based_on: int | None) -> None:
        if based_on is None or not self._table_revision <= based_on <= self._revision:
            raise _Refusal(
                reason=(
                    f"the table was changed in revision {self._table_revision}, after "
                    f"revision {based_on}: get it again and repeat your edit"
                ),
                difference=text_difference(self._table_text, body.text),
            )
        faults = check_table(body.text)
        if faults:
            raise _Refusal(reason="; ".join(str(fault) for fault in faults))
        self._table_text = body.text
        self._table = parse_table(body.text)
        self._table_revision = self._revision + 1

    def _start_shift(self, body: StartShift) -> None:
        if not 0 <= body.share <= 1 or body.cap <= 0:
            raise _Refusal(
                reason="a shift needs a share from 0 to 1 and a cap above 0 requests/s"
            )
        self._shifts[body.name] = body

    def _end_shift(self, body: EndShift) -> None:
        if self._shifts.pop(body.name, None) is None:
            raise _Refusal(reason=f"shift {body.name!r} doesn't exist: list the shifts")


def text_difference(old: str, new: str) -> str:
    """Return a unified diff of two table texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "current", "proposed", lineterm="", n=0
    )
    return "\n".join(lines)
