"""Chooses the control hosts that lend permits to a failure domain."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.membership.messages import ControlHost


def lenders(control_hosts: Iterable[ControlHost], *, domain: str) -> tuple[str, ...]:
    """Return one control host of each domain other than ``domain``.

    It is the one that the entry hosts there ask first. Each control host mints the
    whole share of its domain, so a loan from a second one would exceed the rate.
    """
    first_by_domain: dict[str, str] = {}
    for host in sorted(control_hosts, key=lambda host: host.name):
        first_by_domain.setdefault(host.domain, host.name)
    first_by_domain.pop(domain, None)
    return tuple(first_by_domain.values())
