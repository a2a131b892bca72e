"""The limits that a control host grants permits by.

They are those of its copy of the configuration and, while that copy is older, those
that entry hosts state with their requests.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite

from chicoryhold.limits.messages import StatedLimit
from chicoryhold.limits.permits import Allowance
from chicoryhold.routing.configuration import Configuration, OrganisationRule

MAX_RATE = 1e9  # requests per second; more than any organisation sends
MAX_BURST = 1e9  # requests

AllowanceFor = Callable[[OrganisationRule], Allowance]


class KnownLimits:
    """Knows the limits of organisations. Not thread-safe.

    ``configuration`` returns the current copy, ``allowance_for`` the allowance of a
    rule with a limit.
    """

    def __init__(
        self, *, configuration: Callable[[], Configuration], allowance_for: AllowanceFor
    ) -> None:
        self._configuration = configuration
        self._allowance_for = allowance_for
        self._stated: dict[str, StatedLimit] = {}
        self._pruned_for = 0
        self._indexed: Configuration | None = None
        self._rules: dict[str, OrganisationRule] = {}

    def state(self, name: str, limit: StatedLimit) -> None:
        """Keep what an entry host decides by if this copy doesn't say more."""
        if not _makes_sense(limit):
            return
        configuration = self._configuration()
        self._forget_older(configuration.version)
        earlier = self._stated.get(name)
        if earlier is not None and earlier.version > limit.version:
            return
        if limit.version > configuration.version or self._rule(name) is None:
            self._stated[name] = limit

    def is_known(self, name: str) -> bool:
        """Return whether it is known if ``name`` has a limit."""
        return self._rule(name) is not None or name in self._stated

    def allowance_of(self, name: str) -> Allowance | None:
        """Return the allowance of ``name``, or ``None`` if it has no known limit.

        While a newer limit is stated, it is the lower one of both in each respect.
        """
        rule = self._rule(name)
        stated = self._stated_allowance(name)
        own = self._allowance_for(rule) if rule and rule.rate > 0 else None
        if stated is None or own is None:
            return stated or own
        return Allowance(
            rate=min(own.rate, stated.rate), burst=min(own.burst, stated.burst)
        )

    def _stated_allowance(self, name: str) -> Allowance | None:
        stated = self._stated.get(name)
        if stated is None:
            return None
        is_newer = stated.version > self._configuration().version
        if not is_newer and self._rule(name) is not None:
            return None
        return self._allowance_for(
            OrganisationRule(
                name=name,
                rate=min(stated.rate, MAX_RATE),
                burst=min(stated.burst, MAX_BURST),
            )
        )

    def _rule(self, name: str) -> OrganisationRule | None:
        configuration = self._configuration()
        if configuration is not self._indexed:
            self._rules = _rules_by_name(configuration)
            self._indexed = configuration
        return self._rules.get(name)

    def _forget_older(self, version: int) -> None:
        if version == self._pruned_for:
            return
        self._pruned_for = version
        for name, stated in list(self._stated.items()):
            if stated.version <= version:
                del self._stated[name]


def _rules_by_name(configuration: Configuration) -> dict[str, OrganisationRule]:
    """Return the first rule of each name, of those with a limit if there is one."""
    rules: dict[str, OrganisationRule] = {}
    limited_first = sorted(configuration.organisations, key=lambda rule: rule.rate <= 0)
    for rule in limited_first:
        rules.setdefault(rule.name, rule)
    return rules


def _makes_sense(limit: StatedLimit) -> bool:
    return (
        isfinite(limit.rate)
        and isfinite(limit.burst)
        and limit.rate > 0
        and limit.burst >= 0
    )
