"""The targets that a coordinator has recently granted slots on."""

from __future__ import annotations

import threading
from collections import OrderedDict

from chicoryhold.gateway.target_prober import ProbeCandidate

MAX_TARGETS = 64


class GrantedTargets:
    """Remembers targets, since only the coordinator has a list of them. Thread-safe."""

    def __init__(self) -> None:
        self._services: OrderedDict[str, str] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, address: str, *, service: str) -> None:
        with self._lock:
            self._services[address] = service
            self._services.move_to_end(address)
            if len(self._services) > MAX_TARGETS:
                self._services.popitem(last=False)

    def candidates(self) -> list[ProbeCandidate]:
        """Return the targets for probes. Their failure domains aren't known."""
        with self._lock:
            return [
                ProbeCandidate(address=address, service=service, domain="")
                for address, service in self._services.items()
            ]
