"""Chooses the entry host to which a request is relayed."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import EntryHost

# Added to the relayed requests in flight at a peer of another domain or region. A peer
# nearby is preferred until it has that many more in flight.
OTHER_DOMAIN_PENALTY = 1.0
OTHER_REGION_PENALTY = 4.0
# A peer that couldn't be reached, or refused a request, is avoided this long.
AVOID_SECONDS = 0.5


class RelayPeers:
    """Chooses the peer with the fewest requests of this host in flight. Thread-safe.

    Since a slow peer keeps its requests longer, it gets fewer. ``known`` returns the
    entry hosts that reach targets.
    """

    def __init__(
        self, *, own: Callable[[], EntryHost],
        known: Callable[[], tuple[EntryHost, ...]], clock: Clock, random: Random,
    ) -> None:  # fmt: skip
        self._own = own
        self._known = known
        self._clock = clock
        self._random = random
        self._in_flight: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}
        self._lock = threading.Lock()

    def choose(
        self, *, allowed_regions: frozenset[str], tried: frozenset[str]
    ) -> EntryHost | None:
        """Return a peer in ``allowed_regions``, empty for any, that isn't in ``tried``.

        Peers that failed recently are chosen only if there is no other.
        """
        own = self._own()
        peers = [
            peer
            for peer in self._known()
            if peer.name != own.name
            and peer.name not in tried
            and (not allowed_regions or peer.region in allowed_regions)
        ]
        if not peers:
            return None
        now = self._clock.now()

        def cost(peer: EntryHost) -> tuple[bool, float, float]:
            return (
                now < self._avoided_until.get(peer.name, 0.0),
                self._in_flight[peer.name] + _distance_penalty(own, peer),
                self._random.random(),
            )

        with self._lock:
            return min(peers, key=cost)

    @contextmanager
    def in_flight(self, peer: EntryHost) -> Iterator[None]:
        """Count a request as in flight at ``peer`` for the duration of the block."""
        with self._lock:
            self._in_flight[peer.name] += 1
        try:
            yield
        finally:
            with self._lock:
                self._in_flight[peer.name] -= 1

    def avoid(self, peer: EntryHost) -> None:
        """Prefer other peers for a time."""
        with self._lock:
            self._avoided_until[peer.name] = self._clock.now() + AVOID_SECONDS


def _distance_penalty(own: EntryHost, peer: EntryHost) -> float:
    if peer.region != own.region:
        return OTHER_REGION_PENALTY
    return OTHER_DOMAIN_PENALTY if peer.domain != own.domain else 0.0
