"""Differences between the HTTP conventions of kinds of targets."""

from __future__ import annotations

from typing import Protocol

import attrs


class TargetDialect(Protocol):
    """HTTP conventions of the targets of one kind.

    With ``lenient_framing`` a response without a length ends when its connection is
    closed, bytes after a complete response are discarded with the connection, and a
    response to an earlier request, sent twice, is skipped. Otherwise any of these makes
    the response invalid. ``proof_header`` is what each success must carry to show that
    it comes from a target; none is asked for if it is empty.
    """

    @property
    def request_id_header(self) -> str: ...

    @property
    def lenient_framing(self) -> bool: ...

    @property
    def proof_header(self) -> str: ...


@attrs.frozen(kw_only=True)
class Dialect:
    request_id_header: str
    lenient_framing: bool
    proof_header: str = ""


OWN_DIALECT = Dialect(request_id_header="Chicoryhold-Request-Id", lenient_framing=False)
