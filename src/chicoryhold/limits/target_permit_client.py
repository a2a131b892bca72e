"""Gets permits for requests to targets that take a limited rate."""

from __future__ import annotations

from chicoryhold.clock import Clock
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.control_host_calls import PermitCalls, PermitSources
from chicoryhold.limits.messages import PermitRequest, TargetPermitWant
from chicoryhold.metrics import Metrics


class TargetPermitClient:
    """Asks the nearest control host for each request. Thread-safe.

    Nothing is kept in advance: a permit that one host holds would be missing at
    another. A host that reaches no control host gets no permits.
    """

    def __init__(
        self, *, bus: Bus, clock: Clock, control_hosts: PermitSources, metrics: Metrics
    ) -> None:
        # A build that doesn't know permits of targets replies without any.
        self._calls = PermitCalls(
            bus=bus,
            clock=clock,
            control_hosts=control_hosts,
            is_usable=lambda grant: len(grant.targets) == 1,
        )
        self._clock = clock
        self._metrics = metrics

    def take(self, instance: str, *, rate: float, timeout: float) -> bool:
        """Return whether a request may be sent now to a target that takes ``rate``.

        ``rate`` is in requests per second from all hosts together.
        """
        want = TargetPermitWant(instance=instance, rate=rate)
        request = PermitRequest(wants=(), targets=(want,))
        grant = self._calls.ask(request, deadline=self._clock.now() + timeout)
        outcome = "unreachable"
        if grant is not None:
            outcome = "granted" if grant.targets[0] else "denied"
        self._metrics.count("chicoryhold_target_permits", outcome=outcome)
        return outcome == "granted"
