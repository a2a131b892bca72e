"""Messages between the entry hosts of a failure domain, and between domains."""

from __future__ import annotations

from chicoryhold.codec import message

# Claims of requests that may not be repeated


@message
class StoredAnswer:
    """A target's answer as kept for resends. ``body`` is ``None`` if too large."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@message
class ClaimName:
    """Names a request that may run once. ``key`` is the caller's idempotency key."""

    organisation: str
    key: str


@message
class RecordClaim:
    """Asks a claim replica to record that ``attempt`` wants to run the request.

    ``generation`` is the replica's own, taken from the idempotency key; ``digest``
    is over the request's content.
    """

    generation: str
    name: ClaimName
    digest: bytes
    attempt: str


@message
class ClaimRecorded:
    """The claim is recorded for the asking attempt."""


@message
class ClaimExists:
    """Another attempt has recorded the claim; ``answer`` once it finished."""

    digest: bytes
    answer: StoredAnswer | None = None


@message
class ClaimRejected:
    """The replica doesn't vote on this claim."""

    reason: str


@message
class FinishClaim:
    """The attempt ran and this is the answer."""

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
    """Confirms a message that has no other answer."""


# Membership and lease inside a failure domain


@message
class HeldSlots:
    """How many slots on a target a host holds from an earlier coordinator."""

    address: str
    count: int


@message
class Hello:
    """Sent by every host of a domain to its domain replicas, as a heartbeat.

    ``held`` lets a new coordinator count slots that an earlier one gave out;
    ``known`` is the digest of the member list that the sender has from this replica.
    """

    host: str
    known: str = ""
    leaving: bool = False
    held: tuple[HeldSlots, ...] = ()


@message
class HelloReply:
    """``generation`` names the replica's claims since its start.

    ``epoch`` numbers the lease of ``coordinator``, which is empty if none is known.
    ``control_age`` is how old the replica's own copy of the control state is.
    ``hosts`` is ``None`` if the list with ``digest`` is the one that the asker has.
    """

    control_age: float
    generation: str
    coordinator: str
    epoch: int
    digest: str
    hosts: tuple[str, ...] | None


@message
class Loan:
    """Part of an organisation's budget lent to the domain ``borrower``.

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
    """What the next coordinator of a domain must know of the present one."""

    epoch: int = 0
    version: int = 0
    loans: tuple[Loan, ...] = ()


@message
class LeaseRequest:
    """Asks a domain replica to accept ``candidate`` as coordinator.

    ``ledger`` is ``None`` when the lease is first asked for.
    """

    candidate: str
    epoch: int
    ledger: Ledger | None = None


@message
class LeaseReply:
    """``epoch`` is the highest seen; ``uptime`` is since the replica's start."""

    granted: bool
    epoch: int
    uptime: float
    ledger: Ledger


# Requests to a domain's coordinator


@message
class Admit:
    """Asks for a token of the organisation and a slot on a target of the service.

    ``organisation`` is empty on open routes. ``patience`` is how many seconds the
    asker waits; ``avoid`` are targets that have just failed this request. ``shift``
    names the shift that brings the request from another domain; it never waits.
    """

    organisation: str
    service: str
    patience: float
    avoid: tuple[str, ...] = ()
    has_token: bool = False
    shift: str = ""


@message
class Admitted:
    """A slot on the target at ``address`` until released.

    ``waited`` is how long the coordinator kept the request waiting, in seconds.
    """

    grant: str
    address: str
    waited: float


@message
class NotAdmitted:
    """``reason`` is a refusal kind; ``retry_after`` in seconds."""

    reason: str
    retry_after: float


@message
class NotCoordinator:
    """The asked host isn't the coordinator; ``coordinator`` may be empty."""

    coordinator: str


@message
class Release:
    """Gives a slot back, with what was seen of the target.

    ``latency`` in seconds is ``None`` if the target was not tried.
    """

    grant: str
    ok: bool
    latency: float | None


@message
class Announcement:
    """What a target announces of itself, renewed every second.

    ``sequence`` grows with each announcement of one target process, named by
    ``instance``; ``load`` is what it says of itself, from 0 to 1.
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
    """``in_use`` counts this system's requests on the target."""

    accepted: bool
    in_use: int
    reason: str = ""


@message
class BorrowRequest:
    """Asks another domain's coordinator for part of an organisation's budget.

    ``sequence`` grows with each message about loans from one domain.
    """

    organisation: str
    domain: str
    sequence: int
    capacity: float
    rate: float


@message
class BorrowReply:
    """The whole loan from now on, with tokens that come at once.

    Nothing is lent if ``seconds`` is 0.
    """

    capacity: float = 0.0
    rate: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    serial: str = ""


@message
class LoanGivenBack:
    """The borrower has given up this part of the loan ``serial``."""

    organisation: str
    domain: str
    sequence: int
    serial: str
    capacity: float
    rate: float
    tokens: float
