"""Messages about permits."""

from __future__ import annotations

from chicoryhold.codec import message

UNLIMITED = -1


@message
class StatedLimit:
    """The limit of an organisation by one version of the configuration.

    ``rate`` is in requests per second, ``burst`` in requests.
    """

    version: int
    rate: float
    burst: float


@message
class PermitWant:
    """Asks for up to ``wanted`` permits of one organisation.

    ``needed`` of them are for requests that are waiting. ``unused`` permits of earlier
    grants have expired before they were used. ``limit`` is the one that the entry host
    decides by. Builds that don't state it leave it out.
    """

    name: str
    wanted: int
    needed: int
    unused: int = 0
    limit: StatedLimit | None = None


@message
class TargetPermitWant:
    """Asks for one permit of a target that takes ``rate`` requests per second.

    ``rate`` holds for all hosts together.
    """

    instance: str
    rate: float


@message
class PermitRequest:
    """An entry host asks its domain for permits of several organisations at once.

    It may ask for permits of ``targets`` as well.
    """

    wants: tuple[PermitWant, ...]
    targets: tuple[TargetPermitWant, ...] = ()


@message
class PermitGrant:
    """One count for each want, in order; ``UNLIMITED`` where there is no limit.

    ``targets`` says for each target whether its permit is granted. It is empty in the
    replies of builds that don't know permits of targets.
    """

    counts: tuple[int, ...]
    targets: tuple[bool, ...] = ()


@message
class PermitsUnavailable:
    """The control host doesn't know the current limits: ask another one."""


@message
class PermitLoanRequest:
    """A domain that runs short of permits asks another domain for ``count``.

    They are of the organisation ``name``. If ``rate`` is set, they are of the target
    with this instance name, which takes ``rate`` requests per second.
    """

    name: str
    count: int
    rate: float | None = None


@message
class PermitLoan:
    """Permits that the lender has already removed from its bucket.

    ``is_target`` means that ``name`` is the instance name of a target.
    """

    name: str
    count: int
    is_target: bool = False
