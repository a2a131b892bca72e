"""Effects that a coordinator requests, to be run in order by its driver."""

from __future__ import annotations

import attrs

from chicoryhold.hosts.messages import (
    Admitted,
    BorrowReply,
    BorrowRequest,
    Ledger,
    LoanGivenBack,
    NotAdmitted,
)


@attrs.frozen(kw_only=True)
class AnswerRequest:
    """Answer the admission request that was passed with ``ticket``."""

    ticket: int
    answer: Admitted | NotAdmitted


@attrs.frozen(kw_only=True)
class SendBorrowRequest:
    """Send ``request`` to the coordinators of all other domains.

    Pass each reply to :meth:`Coordinator.on_borrow_reply` with ``number``.
    """

    number: int
    request: BorrowRequest


@attrs.frozen(kw_only=True)
class SaveLedger:
    """Store the ledger on a majority of the domain's replicas.

    Then call :meth:`Coordinator.on_ledger_saved`.
    """

    ledger: Ledger


@attrs.frozen(kw_only=True)
class AnswerBorrower:
    """Answer the loan request that was passed with ``ticket``."""

    ticket: int
    answer: BorrowReply


@attrs.frozen(kw_only=True)
class NotifyLender:
    """Send ``message`` to the coordinator of the domain ``lender``, without retries."""

    lender: str
    message: LoanGivenBack


Effect = AnswerRequest | SendBorrowRequest | SaveLedger | AnswerBorrower | NotifyLender
