"""Spillover: part of a service's requests goes to other regions when load is high."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.routing.affinity import hash_fraction, stable_hash
from chicoryhold.routing.target_view import TargetView

# Loads are in requests per slot of the local region; shares are fractions of a
# service's requests.
HIGH_LOAD = 0.8  # above this load the share grows
LOW_LOAD = 0.4  # below this load the share shrinks
# At most 0.15 of a service's requests may move between regions within 2 s.
SHARE_INCREASE_PER_SECOND = 0.05
# Low, because an affinity key that moves back finds no target that has handled it.
SHARE_DECREASE_PER_SECOND = 0.01
MAX_SPILLOVER_SHARE = 0.9
SMOOTHING_SECONDS = 0.5


@attrs.define(kw_only=True)
class _ServiceState:
    share: float
    load: float
    updated_at: float


class SpilloverController:
    """Adjusts the share of each service's requests that leaves the local region.

    The share changes slowly. It is applied to affinity keys, so that requests with
    the same key keep going to the same region until the share changes.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _ServiceState] = {}

    def share(self, service: str) -> float:
        state = self._states.get(service)
        return state.share if state else 0.0

    def moves(self, service: str, affinity_key: str) -> bool:
        """Whether requests of the service with this key leave the local region."""
        return _spill_position(affinity_key) < self.share(service)

    def observe(
        self, service: str, load: float, *, initial_share: Callable[[], float]
    ) -> float:
        """Update with the local region's load per slot; return the share to move.

        ``initial_share`` returns the share that a service starts with.
        """
        now = self._clock.now()
        state = self._states.get(service)
        if state is None:
            state = _ServiceState(
                share=min(MAX_SPILLOVER_SHARE, initial_share()),
                load=load,
                updated_at=now,
            )
            self._states[service] = state
        elapsed = min(SMOOTHING_SECONDS, now - state.updated_at)
        state.updated_at = now
        state.load += (load - state.load) * elapsed / SMOOTHING_SECONDS
        if state.load > HIGH_LOAD:
            state.share = min(
                MAX_SPILLOVER_SHARE, state.share + SHARE_INCREASE_PER_SECOND * elapsed
            )
        elif state.load < LOW_LOAD:
            state.share = max(0.0, state.share - SHARE_DECREASE_PER_SECOND * elapsed)
        return state.share


def _spill_position(affinity_key: str) -> float:
    """Return the share of requests at which the affinity key leaves the region."""
    return hash_fraction(stable_hash(affinity_key), stable_hash("spill"))


def capacity_shortfall(
    local: list[TargetView], remote: list[TargetView], *, regions: int
) -> float:
    """Return the share of requests for which the local region lacks slots.

    Demand is assumed to be equal in all regions, because none has been measured yet.
    """
    slots = sum(view.slots for view in local)
    even_share = (slots + sum(view.slots for view in remote)) / regions
    return max(0.0, 1 - slots / even_share)
