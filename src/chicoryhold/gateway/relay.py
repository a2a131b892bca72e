"""Relays requests to other entry hosts while this one is cut off from all targets."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import attrs
from loguru import logger
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
)
from chicoryhold.gateway.outcomes import NOT_RUN_STATUSES, forwarded_failure
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.relay_peers import RelayPeers
from chicoryhold.gateway.request import GatewayRequest, RelayCall, RelayTerms
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.membership.messages import EntryHost
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import TargetProcess
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import (
    OutgoingRequest,
    ResponseHead,
    TargetResponse,
)

MAX_PEERS = 2  # to which one request is relayed, one after the other
# Fewer than the threads for callers. The others stay free for what peers relay here:
# two hosts that relay to each other would otherwise wait for each other's threads.
MAX_IN_FLIGHT = 80
MIN_REMAINING_SECONDS = 0.05  # with less time left, no peer could respond
NO_PEER_RETRY_AFTER_SECONDS = 0.1  # the caller's next host may reach targets
NO_PEER = "no_peer"  # the outcome in metrics
# A peer that refuses for these reasons hasn't sent the request to a target.
UNTRIED_KINDS = frozenset(
    {RefusalKind.NOT_READY, RefusalKind.NO_TARGET, RefusalKind.STOPPING}
)
REFUSED_STATUS = 503  # of a refusal after which another peer may serve the request

Outcome = Result[TargetResponse, Refusal]


class RelayHeaderTranslator(Protocol):
    """Translates a relayed request to the headers that entry hosts understand."""

    def relay_headers(self, call: RelayCall) -> Mapping[str, str]: ...

    def refusal_kind(self, response: TargetResponse) -> RefusalKind | None:
        """Return the kind of a peer's own refusal."""

    def leaving_process(self, response: ResponseHead) -> TargetProcess | None:
        """Return the target that a peer's response says is leaving, if any."""


@attrs.frozen(kw_only=True)
class RelayedRequest:
    """A request whose route and key were found valid here.

    ``version`` is that of the configuration by which they are. ``attempts`` is the
    number of targets that the route allows. ``deadline`` is on the local clock.
    ``allowed_regions`` are the regions that the request may run in, empty for any; no
    other region may receive it.
    """

    request: GatewayRequest
    route: str
    version: int
    attempts: int
    repeatable: bool
    allowed_regions: frozenset[str]
    deadline: float


@attrs.frozen(kw_only=True)
class _RelayAttempt:
    """The result of sending a request to one peer.

    ``known_not_run`` means that the peer hasn't run the request and never will,
    ``untried`` that it hasn't sent it to a target either. ``label`` is the outcome in
    metrics.
    """

    outcome: Outcome
    label: str
    known_not_run: bool = False
    untried: bool = False
    responded: bool = False


class Relay:
    """Sends requests to entry hosts that reach targets. Thread-safe.

    The peer handles a relayed request like one of a caller: it checks the key, takes
    the permit and chooses the target. It never relays the request further.
    ``may_take`` returns whether a request with a given deadline may still be sent.
    """

    def __init__(
        self, *, reachability: TargetReachability, peers: RelayPeers,
        connections: TargetConnections, header_translator: RelayHeaderTranslator,
        budgets: RetryBudgets, clock: Clock, metrics: Metrics,
        statements: TargetStatements,
        may_take: Callable[[float], bool] = lambda deadline: True,
    ) -> None:  # fmt: skip
        self._may_take = may_take
        self._reachability = reachability
        self._peers = peers
        self._connections = connections
        self._header_translator = header_translator
        self._budgets = budgets
        self._clock = clock
        self._metrics = metrics
        self._statements = statements
        self._free = threading.BoundedSemaphore(MAX_IN_FLIGHT)

    @property
    def is_needed(self) -> bool:
        """Whether this host can't reach any target itself."""
        return self._reachability.is_cut_off

    def deliver(
        self, relayed: RelayedRequest, *, earlier: Refusal | None = None
    ) -> Outcome:
        """Return the response of a peer, which may be its refusal, or an own refusal.

        ``earlier`` is the result of an attempt at targets before the host was found to
        be cut off. A request that must run at most once is sent only if it is known not
        to have run in any earlier attempt.
        """
        if relayed.request.relayed is not None:
            return Err(earlier or _refusal("this entry host reaches no target itself"))
        if not self._free.acquire(blocking=False):
            return Err(earlier or _refusal("too many requests are being relayed"))
        try:
            return self._deliver(relayed, earlier)
        finally:
            self._free.release()

    def _deliver(self, relayed: RelayedRequest, earlier: Refusal | None) -> Outcome:
        self._budgets.earn(relayed.route)
        last = _earlier_attempt(earlier) if earlier else None
        attempts = relayed.attempts
        if last is not None and not last.known_not_run:
            attempts -= 1
        tried: frozenset[str] = frozenset()
        while len(tried) < MAX_PEERS and attempts and self._may_send(relayed, last):
            peer = self._peers.choose(
                allowed_regions=relayed.allowed_regions, tried=tried
            )
            if peer is None:
                break
            tried |= {peer.name}
            granted = _attempts_for_peer(relayed, attempts)
            attempt = self._send(relayed, peer, granted)
            if not attempt.known_not_run:
                attempts -= granted
            last = _decisive_attempt(last, attempt)
        self._metrics.count(
            "chicoryhold_relayed_requests", outcome=last.label if last else NO_PEER
        )
        if last is None:
            return Err(_refusal("no entry host reaches targets in time"))
        return last.outcome

    def _may_send(self, relayed: RelayedRequest, last: _RelayAttempt | None) -> bool:
        if relayed.request.cancellation.is_set:
            return False
        if not self._may_take(relayed.deadline):
            return False
        if relayed.deadline - self._clock.now() < MIN_REMAINING_SECONDS:
            return False
        if last is None or last.untried:
            return True
        if last.responded:
            return False
        may_run = last.known_not_run or relayed.repeatable
        return may_run and self._budgets.spend(relayed.route)

    def _send(
        self, relayed: RelayedRequest, peer: EntryHost, attempts: int
    ) -> _RelayAttempt:
        try:
            with self._peers.in_flight(peer):
                response = self._exchange(relayed, peer, attempts)
        except ConnectFailed as error:
            self._peers.avoid(peer)
            return _RelayAttempt(
                outcome=Err(_refusal(str(error))),
                label="unreachable",
                known_not_run=True,
                untried=True,
            )
        except ExchangeFailed as error:
            self._record_leaving(relayed, peer, error.heads)
            if not isinstance(error, ExchangeCancelled):
                self._peers.avoid(peer)
                self._log_failure(relayed, peer, error)
            return _failed_attempt(error)
        self._record_leaving(relayed, peer, (*response.earlier, response))
        if response.status in NOT_RUN_STATUSES:
            return self._refused_attempt(relayed, peer, response)
        return _RelayAttempt(outcome=Ok(response), label="responded", responded=True)

    def _refused_attempt(
        self, relayed: RelayedRequest, peer: EntryHost, response: TargetResponse
    ) -> _RelayAttempt:
        """Return the result of a response that promises that the request didn't run.

        Only a peer's own refusal is such a promise; what else is at its address, or a
        target whose response it passes on, may have run the request.
        """
        kind = self._header_translator.refusal_kind(response)
        self._log_refusal(relayed, peer, response.status, kind)
        if response.status == REFUSED_STATUS:
            self._peers.avoid(peer)
        if kind is None:
            return _RelayAttempt(outcome=forwarded_failure(response), label="broken")
        return _RelayAttempt(
            outcome=Ok(response),
            label="refused" if response.status == REFUSED_STATUS else "responded",
            known_not_run=True,
            untried=kind in UNTRIED_KINDS,
            responded=response.status != REFUSED_STATUS,
        )

    def _exchange(
        self, relayed: RelayedRequest, peer: EntryHost, attempts: int
    ) -> TargetResponse:
        request = relayed.request
        call = RelayCall(
            host=request.host,
            key=request.key,
            remaining=max(0.001, relayed.deadline - self._clock.now()),
            terms=RelayTerms(version=relayed.version, attempts=attempts),
        )
        outgoing = OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            path=request.target,
            headers={**request.headers, **self._header_translator.relay_headers(call)},
            body=request.body,
            at_most_once=not relayed.repeatable,
        )
        return self._connections.exchange(
            peer.address,
            outgoing,
            deadline=relayed.deadline,
            stale_connection_deadline=relayed.deadline,
            cancellation=request.cancellation,
        )

    def _record_leaving(
        self, relayed: RelayedRequest, peer: EntryHost, heads: Iterable[ResponseHead]
    ) -> None:
        """Note the targets that ``peer`` says are leaving, by their own statement."""
        for head in heads:
            target = self._header_translator.leaving_process(head)
            if target is not None and self._statements.record_leaving(target):
                logger.bind(
                    request=relayed.request.request_id,
                    peer=peer.name,
                    target=target.instance,
                    born=target.born_ms,
                ).info("relay: a target says that it leaves.")

    def _log_refusal(
        self, relayed: RelayedRequest, peer: EntryHost, status: int,
        kind: RefusalKind | None,
    ) -> None:  # fmt: skip
        logger.bind(
            request=relayed.request.request_id,
            peer=peer.name,
            status=status,
            refused=kind.label if kind else "unknown",
        ).info("relay: a peer refused.")

    def _log_failure(
        self, relayed: RelayedRequest, peer: EntryHost, error: ExchangeFailed
    ) -> None:
        logger.bind(
            request=relayed.request.request_id,
            peer=peer.name,
            domain=peer.domain,
            left=round(relayed.deadline - self._clock.now(), 3),
            reason=str(error),
        ).info("relay: attempt failed.")


def _attempts_for_peer(relayed: RelayedRequest, attempts: int) -> int:
    """Return how many of ``attempts`` the next peer may use.

    One is kept for another peer, as nobody knows how many were used if this one breaks
    off. A request that must run at most once isn't sent again then.
    """
    return attempts - 1 if relayed.repeatable and attempts > 1 else attempts


def _decisive_attempt(
    last: _RelayAttempt | None, attempt: _RelayAttempt
) -> _RelayAttempt:
    """Return the attempt that determines the outcome.

    After an attempt that may have run the request, a refusal would be wrong.
    """
    if last is not None and not last.known_not_run and attempt.known_not_run:
        return last
    return attempt


def _earlier_attempt(refusal: Refusal) -> _RelayAttempt:
    return _RelayAttempt(
        outcome=Err(refusal),
        label=NO_PEER,
        known_not_run=refusal.ran is RunStatus.NOT_RUN,
        untried=refusal.kind in UNTRIED_KINDS,
    )


def _failed_attempt(error: ExchangeFailed) -> _RelayAttempt:
    is_timeout = isinstance(error, (ExchangeTimeout, ExchangeCancelled))
    kind = RefusalKind.TIMED_OUT if is_timeout else RefusalKind.ANSWER_BROKEN
    refusal = Refusal(kind=kind, ran=RunStatus.UNKNOWN, message=str(error))
    return _RelayAttempt(
        outcome=Err(refusal),
        label="timed_out" if is_timeout else "broken",
    )


def _refusal(message: str) -> Refusal:
    return Refusal(
        kind=RefusalKind.NOT_READY,
        ran=RunStatus.NOT_RUN,
        message=message,
        retry_after=NO_PEER_RETRY_AFTER_SECONDS,
    )
