"""Messages about permits."""

from __future__ import annotations

from chicoryhold.codec import message

UNLIMITED = -1


@message
class PermitWant:
    """``needed`` requests wait; ``unused`` permits ended before they were used."""

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
class PermitLoanRequest:
    """A domain that runs short asks another one for permits."""

    name: str
    count: int


@message
class PermitLoan:
    """Permits that have left the giver's bucket."""

    name: str
    count: int
