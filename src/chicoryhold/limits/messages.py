"""Messages about permits."""

from __future__ import annotations

from chicoryhold.codec import message

UNLIMITED = -1


@message
class PermitWant:
    """Asks for up to ``wanted`` permits of one organisation.

    ``needed`` of them are for requests that are waiting. ``unused`` permits of earlier
    grants have expired before they were used.
    """

    name: str
    wanted: int
    needed: int
    unused: int = 0


@message
class PermitRequest:
    """An entry host asks its domain for permits of several organisations at once."""

    wants: tuple[PermitWant, ...]


@message
class PermitGrant:
    """One count for each want, in order; ``UNLIMITED`` where there is no limit."""

    counts: tuple[int, ...]


@message
class PermitsUnavailable:
    """The control host doesn't know the current limits yet: ask another one."""


@message
class PermitLoanRequest:
    """A domain that runs short of permits asks another domain for ``count``."""

    name: str
    count: int


@message
class PermitLoan:
    """Permits that the lender has already removed from its bucket."""

    name: str
    count: int
