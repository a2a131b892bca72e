"""What a coordinator keeps of requests and loans that haven't ended."""

from __future__ import annotations

import attrs

from chicoryhold.hosts.messages import Admit, BorrowReply

GRANT_PATIENCE_FACTOR = 1.2  # above 1 / PATIENCE_FRACTION of the admission client
GRANT_MARGIN_SECONDS = 1.0


@attrs.define(kw_only=True)
class PendingRequest:
    """A request that waits for a token or a slot."""

    ticket: int
    request: Admit
    arrived_at: float

    @property
    def expires_at(self) -> float:
        return self.arrived_at + self.request.patience

    @property
    def grant_expires_at(self) -> float:
        """When the slot is freed even if it was never released.

        The asking host's deadline is at most ``patience / 0.9`` after the request
        arrived, so by then the host has finished or was killed.
        """
        patience = self.request.patience * GRANT_PATIENCE_FACTOR
        return self.arrived_at + patience + GRANT_MARGIN_SECONDS


@attrs.define(kw_only=True)
class Grant:
    """A slot that a host uses until it releases it, or until it expires."""

    address: str
    instance: str
    expires_at: float


@attrs.frozen(kw_only=True)
class UnsavedLoan:
    """A loan that is answered once a majority has stored the ledger's ``version``."""

    ticket: int
    answer: BorrowReply
    version: int
