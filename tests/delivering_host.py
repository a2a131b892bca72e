"""A host that delivers requests over real sockets, for tests."""

from __future__ import annotations

import attrs
from wiring.targets import DIALECT, PlatformHeaders

from chicoryhold.clock import BootClock
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.outcomes import Outcome
from chicoryhold.gateway.request import GatewayRequest, RoutedRequest
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import TargetRecord
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.connections import TargetConnections
from tests.crash_fakes import CrashedTargets, a_guard
from tests.statement_fakes import a_statements
from tests.test_target_choice import ROUTE, a_chooser, apply
from tests.test_targets_state import a_record


@attrs.frozen(kw_only=True)
class Host:
    """Delivers requests that must run at most once over real sockets."""

    delivery: Delivery
    connections: TargetConnections
    chooser: TargetChooser
    statements: TargetStatements

    @property
    def received_bytes(self) -> int:
        """The bytes of incomplete bodies that it holds."""
        return self.connections._memory.used_bytes

    def send(
        self, request_id: str = "r1", *, seconds: float = 2.0, attempts: int = 1,
        cancellation: Cancellation | None = None,
    ) -> Outcome:  # fmt: skip
        now = BootClock().now()
        request = GatewayRequest(
            request_id=request_id,
            method="GET",
            host="h",
            path="/",
            target="/",
            headers={},
            body=b"",
            key=None,
            affinity_key="thing",
            arrived_at=now,
            deadline=now + seconds,
            cancellation=cancellation or Cancellation(),
        )
        routed = RoutedRequest(
            request=request,
            route=attrs.evolve(ROUTE, repeatable=False, attempts=attempts),
            service="menu",
            organisation="",
            allowed_regions=frozenset(),
            deadline=request.deadline,
            digest=b"digest",
        )
        return self.delivery.deliver(routed)

    def is_leaving(self, instance: str = "i-1") -> bool:
        return self.statements.is_leaving(a_record(instance=instance))


def a_host_with(*records: TargetRecord) -> Host:
    """Return a host whose copy of the control state has ``records``."""
    clock = BootClock()
    statements = a_statements(clock)
    chooser = a_chooser(clock=clock, statements=statements)
    apply(chooser, records)
    metrics = Metrics(process="test")
    connections = TargetConnections(clock=clock, dialect=DIALECT)
    delivery = Delivery(
        chooser=chooser,
        connections=connections,
        header_translator=PlatformHeaders(),
        statements=statements,
        crashes=CrashedTargets().watch(clock),
        guard=a_guard(clock),
        log=AttemptLog(clock=clock, metrics=metrics, copy_age=lambda: 0.0),
        budgets=RetryBudgets(),
        clock=clock,
    )
    return Host(
        delivery=delivery,
        connections=connections,
        chooser=chooser,
        statements=statements,
    )
