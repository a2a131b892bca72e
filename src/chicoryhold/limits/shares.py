"""Divides an organisation's rate and burst between the failure domains."""

from __future__ import annotations

import zlib

import attrs

from chicoryhold.state.table import OrganisationLimits


@attrs.frozen(kw_only=True)
class Share:
    """One domain's share: ``capacity`` in whole requests, ``rate`` in requests/s."""

    capacity: int
    rate: float


def share_of(
    *, organisation: str, limits: OrganisationLimits, domain: str,
    domains: tuple[str, ...],
) -> Share:  # fmt: skip
    """Return the share of ``domain``; those of all ``domains`` add up to the limits.

    Capacity is divided in whole requests, because a domain with a capacity below one
    token could never admit anything. Which domains get the remainder depends on the
    organisation's name, so that the capacity of small organisations is spread over
    the domains.
    """
    ordered = sorted(domains)
    offset = zlib.crc32(organisation.encode()) % len(ordered)
    position = (ordered.index(domain) - offset) % len(ordered)
    whole, remainder = divmod(limits.burst, len(ordered))
    capacity = whole + (1 if position < remainder else 0)
    return Share(capacity=capacity, rate=limits.rate * capacity / limits.burst)
