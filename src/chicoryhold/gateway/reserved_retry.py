"""The next attempt of a request, reserved before the current one is given up."""

from __future__ import annotations

from collections.abc import Callable

from chicoryhold.routing.selection import Choice


class ReservedRetry:
    """The next attempt, reserved before the current one is given up for it.

    Otherwise an attempt could be given up for one that is then refused, since a stop
    began, the budget is spent or no target is left.
    """

    def __init__(self, *, reserve: Callable[[], Choice | None]) -> None:
        self._reserve = reserve
        self._choice: Choice | None = None

    @property
    def choice(self) -> Choice | None:
        """The target of the next attempt, if that was reserved."""
        return self._choice

    def reserve(self) -> bool:
        """Return whether another attempt will be made."""
        self._choice = self._reserve()
        return self._choice is not None
