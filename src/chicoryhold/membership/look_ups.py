"""Answers callers that ask which entry hosts to use."""

from __future__ import annotations

from random import Random

import attrs

from chicoryhold.membership.registry import HostRegistry

MAX_ADDRESSES = 64  # callers read no more
LIFETIME_SECONDS = 2.0
# A caller whose nearest control hosts are down waits a second for each of them at every
# look-up, so it gets an answer that it needs to renew less often.
REMOTE_LIFETIME_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class LookUpAnswer:
    """The addresses of entry hosts, and for how many seconds callers may use them."""

    addresses: tuple[str, ...]
    lifetime: float


class LookUps:
    """Chooses entry hosts for callers, near them and evenly. Thread-safe."""

    def __init__(self, *, registry: HostRegistry, random: Random) -> None:
        self._registry = registry
        self._random = random

    def answer(self, *, domain: str, region: str) -> LookUpAnswer | None:
        """Return the answer for a caller, or ``None`` if no entry host is ready."""
        hosts = self._registry.entry_hosts(region=region)
        if not hosts:
            return None
        # With more hosts than fit, the same ones in each answer would be overloaded.
        chosen = self._random.sample(hosts, min(len(hosts), MAX_ADDRESSES))
        has_lost_near = self._registry.has_only_lost_control_hosts(domain)
        return LookUpAnswer(
            addresses=tuple(host.address for host in chosen),
            lifetime=REMOTE_LIFETIME_SECONDS if has_lost_near else LIFETIME_SECONDS,
        )
