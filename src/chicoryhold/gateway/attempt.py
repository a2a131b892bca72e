"""One attempt of a delivery."""

from __future__ import annotations

import attrs

from chicoryhold.gateway.request import RoutedRequest
from chicoryhold.routing.selection import Choice
from chicoryhold.state.targets import TargetRecord


@attrs.define(kw_only=True)
class Attempt:
    """A request on its way to the target of ``choice``.

    ``number`` counts from 0. It was sent at ``started``, on the local clock, when the
    control state named ``named_there`` at the target's address. It never changes; it
    isn't frozen, since each request creates one.
    """

    routed: RoutedRequest
    choice: Choice
    number: int
    started: float
    named_there: TargetRecord | None = None

    @property
    def target(self) -> TargetRecord:
        """The record of the target, as it is now."""
        return self.choice.view.record
