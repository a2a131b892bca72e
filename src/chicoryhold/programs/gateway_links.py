"""Assembles what an entry host needs to reach targets, itself or through a peer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.gateway.link_log import LinkLog
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.relay import Relay, RelayHeaderTranslator
from chicoryhold.gateway.relay_peers import RelayPeers
from chicoryhold.gateway.target_prober import ProbeCandidate, TargetProber
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.membership.messages import EntryHost
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import TargetRecord, TargetState
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.dialect import TargetDialect
from chicoryhold.targets.link_failures import LinkFailure
from chicoryhold.targets.probe import probe_addresses

CONNECT_TIMEOUT_SECONDS = 0.4  # two round trips to the farthest region, plus a margin
# Responses over open connections stop arriving this long before connects fail.
UNNOTICED_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class TargetLinks:
    """The connections of one host to targets, and whether it reaches any.

    While it is cut off, idle connections are closed, since nothing shows when they are
    usable again. Afterwards, the failures of that time don't count against targets, and
    the connections to peers, ``relay_connections``, are closed.
    """

    chooser: TargetChooser
    connections: TargetConnections
    relay_connections: TargetConnections
    reachability: TargetReachability
    clock: Clock

    def reset(self) -> None:
        """Discard what the cut made invalid; called when it is noticed, and has ended.

        A change of ``reachability`` must already be visible.
        """
        if self.reachability.is_cut_off:
            self.connections.close_all_idle()
        else:
            since = self.reachability.cut_off_since - UNNOTICED_SECONDS
            self.chooser.forget_failures(since=since)
            self.relay_connections.close_all_idle()


def create_target_links(
    *, chooser: TargetChooser, dialect: TargetDialect, clock: Clock, metrics: Metrics
) -> TargetLinks:
    """Return connections that report their outcomes to all who learn from them."""
    reachability = TargetReachability(clock=clock)
    link_log = LinkLog(record_of=chooser.record_at, clock=clock, metrics=metrics)

    def record_opened(address: str, seconds: float) -> None:
        chooser.record_connect_time(address, seconds)
        reachability.record_opened()
        link_log.record_opened()

    def record_failure(address: str, failure: LinkFailure) -> None:
        reachability.record_failure(address)
        link_log.record_failure(address, failure)

    connections = TargetConnections(
        clock=clock,
        dialect=dialect,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        record_connect_time=record_opened,
        record_link_failure=record_failure,
        may_preconnect=chooser.is_staying,
    )
    # Their outcomes say nothing about targets, so they aren't reported.
    relay_connections = TargetConnections(
        clock=clock,
        dialect=dialect,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        may_keep_idle=lambda: reachability.is_cut_off,
    )
    return TargetLinks(
        chooser=chooser,
        connections=connections,
        relay_connections=relay_connections,
        reachability=reachability,
        clock=clock,
    )


def probe_candidates(records: Iterable[TargetRecord]) -> list[ProbeCandidate]:
    """Return the targets that still exist as candidates for probes."""
    return [
        ProbeCandidate(
            address=record.address,
            service=record.service,
            domain=record.domain,
            is_ready=record.state is TargetState.READY,
        )
        for record in records
        if record.state is not TargetState.GONE
    ]


def create_prober(
    links: TargetLinks, *, name: str, on_change: Callable[[], None]
) -> TargetProber:
    return TargetProber(
        reachability=links.reachability,
        probe=partial(probe_addresses, clock=links.clock),
        clock=links.clock,
        candidates=lambda: probe_candidates(
            view.record for view in links.chooser.views.values()
        ),
        random=Random(name),
        component="gateway",
        meanwhile="relaying",
        on_change=on_change,
    )


def create_relay(
    links: TargetLinks, *, own: Callable[[], EntryHost],
    peers: Callable[[], tuple[EntryHost, ...]],
    header_translator: RelayHeaderTranslator, metrics: Metrics,
    statements: TargetStatements,
    may_take: Callable[[float], bool] = lambda deadline: True,
) -> Relay:  # fmt: skip
    """Return a relay that uses the relay connections of ``links``."""
    return Relay(
        reachability=links.reachability,
        peers=RelayPeers(
            own=own, known=peers, clock=links.clock, random=Random(own().name)
        ),
        connections=links.relay_connections,
        header_translator=header_translator,
        budgets=RetryBudgets(),
        clock=links.clock,
        metrics=metrics,
        statements=statements,
        may_take=may_take,
    )
