"""Differences between the HTTP conventions of kinds of targets."""

from __future__ import annotations

from typing import Protocol

import attrs


class TargetDialect(Protocol):
    """HTTP conventions of the targets of one kind.

    With ``lenient_framing`` a response without a length ends when its connection is
    closed, and bytes after a complete response are discarded with the connection.
    Otherwise either makes the response invalid.
    """

    @property
    def request_id_header(self) -> str: ...

    @property
    def lenient_framing(self) -> bool: ...


@attrs.frozen(kw_only=True)
class Dialect:
    request_id_header: str
    lenient_framing: bool


OWN_DIALECT = Dialect(request_id_header="Chicoryhold-Request-Id", lenient_framing=False)
