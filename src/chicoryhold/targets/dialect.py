"""The headers that this system and a kind of targets share."""

from __future__ import annotations

from typing import Protocol

import attrs


class TargetDialect(Protocol):
    """What :class:`~chicoryhold.targets.connections.TargetConnections` must know.

    With ``takes_answers_to_the_end`` an answer without a length ends with its
    connection, and bytes after a whole answer are dropped with the connection.
    Otherwise both make the answer a broken one.
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
