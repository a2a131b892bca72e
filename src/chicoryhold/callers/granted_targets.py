"""The targets that a coordinator has recently granted slots on."""

from __future__ import annotations

import threading
from collections import OrderedDict

import attrs

from chicoryhold.clock import Clock
from chicoryhold.gateway.target_prober import ProbeCandidate

MAX_TARGETS = 64
MAX_AGE_SECONDS = 30.0  # older grants may name targets that have been replaced


@attrs.frozen(kw_only=True)
class _Grant:
    """The latest grant of a slot on a target of ``service``."""

    service: str
    granted_at: float


class GrantedTargets:
    """Remembers targets, since only the coordinator has a list of them. Thread-safe."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._grants: OrderedDict[str, _Grant] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, address: str, *, service: str) -> None:
        grant = _Grant(service=service, granted_at=self._clock.now())
        with self._lock:
            self._grants[address] = grant
            self._grants.move_to_end(address)
            if len(self._grants) > MAX_TARGETS:
                self._grants.popitem(last=False)

    def candidates(self, *, include_old: bool = False) -> list[ProbeCandidate]:
        """Return the targets for probes. Their failure domains aren't known.

        Those granted more than ``MAX_AGE_SECONDS`` ago are left out unless
        ``include_old``, which suits a host that is cut off and gets no more grants:
        all targets then have the same age, so that each of them may be probed.
        """
        now = self._clock.now()
        with self._lock:
            grants = list(self._grants.items())
        return [
            ProbeCandidate(
                address=address,
                service=grant.service,
                domain="",
                age=0.0 if include_old else now - grant.granted_at,
            )
            for address, grant in grants
            if include_old or now - grant.granted_at <= MAX_AGE_SECONDS
        ]
