"""Messages exchanged by entry hosts, within a failure domain and across domains."""

from __future__ import annotations

from chicoryhold.codec import message

# Claims on requests that may run at most once


@message
class StoredAnswer:
    """A target's answer, kept for resends. ``body`` is ``None`` if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@message
class ClaimName:
    """Names a request that may run only once; ``key`` is its idempotency key."""

    organisation: str
    key: str


@message
class RecordClaim:
    """Asks a claim replica to record that ``attempt`` wants to run the request.

    ``generation`` is that of the replica, taken from the idempotency key; ``digest``
    is a hash of the content of the request.
    """

    generation: str
    name: ClaimName
    digest: bytes
    attempt: str


@message
class ClaimRecorded:
    """The claim is recorded for the attempt in the request."""


@message
class ClaimExists:
    """Another attempt has the claim. ``answer`` is set once that attempt finished."""

    digest: bytes
    answer: StoredAnswer | None = None


@message
class ClaimRejected:
    """The replica does not vote on this claim, for ``reason``."""

    reason: str


@message
class FinishClaim:
    """The attempt ran and the target gave ``answer``."""

    generation: str
    name: ClaimName
    attempt: str
    answer: StoredAnswer


@message
class AbandonClaim:
    """The attempt did not run and never will."""

    generation: str
    name: ClaimName
    attempt: str


@message
class Done:
    """Confirms a message that has no other reply."""


# Membership and lease inside a failure domain


@message
class HeldSlots:
    """The slots on a target that an earlier coordinator granted to the host."""

    address: str
    count: int


@message
class KnownLimit:
    """The requests per second that a target takes, as it said in its last answer."""

    address: str
    rate: float


@message
class Hello:
    """Sent by every host of a domain to its domain replicas, as a heartbeat.

    ``held`` lets a new coordinator count the slots that an earlier one granted, and
    ``limits`` keep the limits that targets have named to that one;
    ``known`` is the digest of the host list that the sender has from this replica.
    """

    host: str
    known: str = ""
    leaving: bool = False
    held: tuple[HeldSlots, ...] = ()
    limits: tuple[KnownLimit, ...] = ()


@message
class HelloReply:
    """The reply of a domain replica to a heartbeat.

    ``generation`` is the name of the replica's current claim generation. After a
    restart it is a new one, since the replica has lost the claims that it held.
    ``epoch`` numbers the lease of ``coordinator``, which is empty if none is known.
    ``control_age`` is the age of the replica's copy of the control state, in seconds.
    ``hosts`` is ``None`` if the sender of the hello has the list with ``digest``.
    """

    control_age: float
    generation: str
    coordinator: str
    epoch: int
    digest: str
    hosts: tuple[str, ...] | None


@message
class Loan:
    """Part of an organisation's limits that is lent to the domain ``borrower``.

    ``capacity`` in requests, ``rate`` in requests per second, ``remaining`` in
    seconds until the lender takes it back.
    """

    organisation: str
    borrower: str
    serial: str
    capacity: float
    rate: float
    remaining: float


@message
class Ledger:
    """The state that a domain's next coordinator takes over from the current one."""

    epoch: int = 0
    version: int = 0
    loans: tuple[Loan, ...] = ()


@message
class LeaseRequest:
    """Asks a domain replica to accept ``candidate`` as coordinator.

    ``ledger`` is ``None`` in the first request for a lease.
    """

    candidate: str
    epoch: int
    ledger: Ledger | None = None


@message
class LeaseReply:
    """``epoch`` is the highest epoch that the replica has seen.

    ``uptime`` is the time since the replica's start, in seconds.
    """

    granted: bool
    epoch: int
    uptime: float
    ledger: Ledger


# Requests to a domain's coordinator


@message
class Admit:
    """Asks for a rate-limit token of the organisation and a slot for the service.

    ``organisation`` is empty on open routes. ``patience`` is how many seconds the
    sender waits; ``avoid`` lists targets that have just failed this request.
    ``shift`` names the traffic shift that sent the request from another domain; such
    a request is never queued.
    """

    organisation: str
    service: str
    patience: float
    avoid: tuple[str, ...] = ()
    has_token: bool = False
    shift: str = ""


@message
class Admitted:
    """Grants a slot on the target at ``address`` until it is released.

    ``waited`` is how long the coordinator queued the request, in seconds; ``instance``
    names the target's process.
    """

    grant: str
    address: str
    waited: float
    instance: str = ""


@message
class NotAdmitted:
    """``reason`` is the kind of the refusal; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float


@message
class NotCoordinator:
    """The receiver of the request isn't the coordinator.

    ``coordinator`` is the current one, or empty if none is known.
    """

    coordinator: str


@message
class Release:
    """Returns a slot, with the result of the request to the target.

    ``latency``, in seconds, is ``None`` if no request was attempted. ``limit`` is the
    number of requests per second that the target takes, by an answer that says so.
    ``has_no_limit`` means that its answer named none, and ``is_leaving`` that the
    target has said to the sender that it leaves.
    """

    grant: str
    ok: bool
    latency: float | None
    limit: float | None = None
    has_no_limit: bool = False
    is_leaving: bool = False


@message
class Announcement:
    """What a target announces about itself, repeated every second.

    ``sequence`` grows with each announcement of one target process, named by
    ``instance``; ``load`` is the load that it reports, from 0 to 1.
    """

    service: str
    address: str
    instance: str
    sequence: int
    slots: int
    connections: int
    draining: bool = False
    load: float = 0.0


@message
class AnnouncementReply:
    """``in_use`` is the number of the target's slots that entry hosts hold."""

    accepted: bool
    in_use: int
    reason: str = ""


@message
class BorrowRequest:
    """Asks another domain's coordinator for part of an organisation's limits.

    ``sequence`` grows with each message about loans from one domain.
    """

    organisation: str
    domain: str
    sequence: int
    capacity: float
    rate: float


@message
class BorrowReply:
    """The total loan from now on. ``tokens`` can be used at once.

    Nothing is lent if ``seconds`` is 0.
    """

    capacity: float = 0.0
    rate: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    serial: str = ""


@message
class LoanGivenBack:
    """The borrower returns this part of the loan ``serial``."""

    organisation: str
    domain: str
    sequence: int
    serial: str
    capacity: float
    rate: float
    tokens: float
