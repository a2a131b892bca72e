"""Messages about permits."""

from __future__ import annotations

from chicoryhold.codec import message


@message
class PermitRequest:
    """An entry host asks its domain for permits; ``needed`` requests wait for them."""

    name: str
    wanted: int
    needed: int


@message
class PermitGrant:
    """``unlimited`` if the name has no limit."""

    count: int
    unlimited: bool = False


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
