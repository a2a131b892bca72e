"""The actor that keeps an entry host's copy of the control state up to date."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.fetch_log import FetchLog
from chicoryhold.control.follower import BatchResult, Follower
from chicoryhold.control.messages import (
    ChangeBatch,
    FetchChanges,
    FetchImage,
    HostReport,
    ImagePiece,
    SnapshotNeeded,
    SourceUnavailable,
    StateUpdate,
)
from chicoryhold.control.newest_reports import NewestReports
from chicoryhold.control.open_fetches import OpenFetch, OpenFetches
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.control.sources import SourceChoice
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick, tell_reply
from chicoryhold.hosts.bus import Bus

FETCH_TIMEOUT_SECONDS = 1.5
RETRY_DELAY_SECONDS = 0.1
STALE_SOURCE_AGE_SECONDS = 3.0
REPORT_EXPIRY_SECONDS = 10.0
# Longer than an election. After all hosts have started, no source is confirmed before.
UNCONFIRMED_PATIENCE_SECONDS = 1.5

FetchReply = StateUpdate | ChangeBatch | SnapshotNeeded | ImagePiece | SourceUnavailable


@attrs.frozen(kw_only=True)
class _FetchReplied:
    number: int
    reply: FetchReply
    arrived_at: float


@attrs.frozen(kw_only=True)
class FetchTiming:
    """Intervals in seconds.

    If a fetch isn't answered within ``timeout``, another source is asked as well; half
    of it while the copy is older than ``stale_age``. A source whose state was confirmed
    more than ``stale_age`` ago is stale. After a failure the next fetch waits
    ``retry_delay``.
    """

    timeout: float = FETCH_TIMEOUT_SECONDS
    stale_age: float = STALE_SOURCE_AGE_SECONDS
    retry_delay: float = RETRY_DELAY_SECONDS

    @property
    def live_back_off(self) -> float:
        """For how long a source is avoided that replies, but isn't confirmed.

        It is the time of a fetch from another one.
        """
        return self.timeout + self.retry_delay


class FollowerActor(CriticalActor):
    """Keeps a copy up to date from its sources, and serves it to other hosts.

    ``sources`` returns process names in order of preference. If a source is slow to
    reply, is behind the copy or is stale, the next one is asked. Replies are used
    whenever they arrive, since a host that is slow itself gets none in time.
    ``on_applied`` is called after the revision of the follower's state has changed.
    """

    def __init__(
        self, *, follower: Follower, sources: Callable[[], tuple[str, ...]], bus: Bus,
        clock: Clock, domain: str, timing: FetchTiming | None = None,
        on_applied: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self._timing = timing or FetchTiming()
        self._on_applied = on_applied
        self._notified_revision = -1
        self._follower = follower
        self._bus = bus
        self._clock = clock
        self._domain = domain
        self._choice = SourceChoice(
            sources=sources,
            clock=clock,
            unconfirmed_back_off=self._timing.live_back_off,
        )
        self._fetches = OpenFetches(
            clock=clock, forget=lambda future: bus.forget(future)
        )
        self._incoming_fetches = PendingFetches(feed=follower.feed, clock=clock)
        self._asked_at: dict[str, float] = {}
        self._reports = NewestReports(clock=clock)
        self._source = ""
        self._next_fetch_at = 0.0
        self._needs_image = False
        self._is_confirmed = False
        self._unconfirmed_since = float("inf")
        self._fetch_log = FetchLog(clock=clock)

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case _FetchReplied():
                self._on_reply(message)
            case PeerRequest():
                self._on_request(message)
        self._incoming_fetches.answer_ready(confirmed_age=self._follower.age)
        revision = self._follower.state.revision
        if self._on_applied is not None and revision != self._notified_revision:
            self._notified_revision = revision
            since = self._clock.now()
            self._on_applied()
            self._fetch_log.applied(since=since)

    def _tick(self) -> None:
        self._fetch_log.ticked()
        self._fetch_log.write(
            age=self._follower.age,
            revision=self._follower.fetched_revision,
            version=self._follower.fetched_version,
            source=self._source,
            unanswered=self._fetches.longest_wait,
            image_bytes=self._follower.image_bytes,
        )
        for fetch in self._fetches.take_overdue(timeout=self._patience):
            self._log_avoided(fetch.source, "it is slow to reply")
            self._choice.avoid_late(fetch.source)
        if not self._expects_reply and self._clock.now() >= self._next_fetch_at:
            # While a source is late the copy gets old, so the next one may not wait.
            self._fetch(at_once=len(self._fetches) > 0)

    @property
    def _patience(self) -> float:
        """How long a fetch may take before another source is asked as well."""
        is_old = self._timing.stale_age < self._follower.age < UNCONFIRMED_AGE_SECONDS
        return self._timing.timeout / 2 if is_old else self._timing.timeout

    @property
    def _expects_reply(self) -> bool:
        """Whether a fetch is open that isn't late yet."""
        newest = self._fetches.newest
        return newest is not None and not newest.is_late

    @property
    def _followers(self) -> frozenset[str]:
        """The hosts that fetch from this one, if it has a copy for them."""
        if self._follower.state.revision == 0:
            return frozenset()
        return frozenset(self._recently_asked())

    def _recently_asked(self) -> dict[str, float]:
        """Return when each host asked this one that did within a fetch's timeout."""
        since = self._clock.now() - self._timing.timeout
        return {host: at for host, at in self._asked_at.items() if at >= since}

    def _fetch(self, *, at_once: bool = False) -> None:
        source = self._choice.choose(
            waiting=self._fetches.sources, followers=self._followers
        )
        if not source:
            self._fetch_log.had_no_source()
            return
        self._source = source
        self._fetch_log.asked()
        number = self._fetches.next_number()
        future = self._bus.ask(source, self._request(source, at_once=at_once))
        self._fetches.add(number, source=source, future=future)
        tell_reply(
            future,
            self.actor_ref,
            kinds=FetchReply,
            message=lambda reply: _FetchReplied(
                number=number, reply=reply, arrived_at=self._clock.now()
            ),
        )

    def _request(self, source: str, *, at_once: bool) -> FetchChanges | FetchImage:
        follower = self._follower
        if self._needs_image:
            return follower.image_request(source)
        return FetchChanges(
            after=follower.fetched_revision,
            reports=self._current_reports(),
            digest=follower.fetched_digest,
            at_once=at_once,
        )

    def _on_reply(self, message: _FetchReplied) -> None:
        fetch = self._fetches.take(message.number)
        if fetch is None:
            self._fetch_log.was_too_late()
            return
        self._choice.record_reply(fetch.source)
        self._log_reply(message, fetch)
        match message.reply:
            case StateUpdate() as update:
                result = self._follower.on_update(update, sent_at=fetch.sent_at)
                self._on_applied_reply(fetch, update, result)
            case ChangeBatch() as batch:
                result = self._follower.on_batch(batch, sent_at=fetch.sent_at)
                self._on_applied_reply(fetch, batch, result)
            case SnapshotNeeded(revision=revision):
                self._on_snapshot_needed(fetch, revision)
            case ImagePiece() as piece:
                self._on_piece(fetch, piece)
            case SourceUnavailable(leader=leader):
                self._log_avoided(fetch.source, "it is unavailable")
                self._choice.avoid_unconfirmed(fetch.source, suggested=leader)
                self._delay_next_fetch()
        if not self._expects_reply and self._clock.now() >= self._next_fetch_at:
            self._fetch()

    def _log_reply(self, message: _FetchReplied, fetch: OpenFetch) -> None:
        reply = message.reply
        has_state = isinstance(reply, StateUpdate | ChangeBatch)
        self._fetch_log.replied(
            sent_at=fetch.sent_at,
            arrived_at=message.arrived_at,
            held=reply.waited if has_state else 0.0,
            source_age=reply.confirmed_age if has_state else 0.0,
            source_revision=getattr(reply, "revision", 0),
            is_late=fetch.is_late,
        )

    def _on_piece(self, fetch: OpenFetch, piece: ImagePiece) -> None:
        if piece.revision < self._follower.fetched_revision:
            self._needs_image = False
            self._avoid(fetch, BatchResult.BEHIND.value)
        elif self._follower.on_piece(piece, source=fetch.source, sent_at=fetch.sent_at):
            self._needs_image = False

    def _on_applied_reply(
        self, fetch: OpenFetch, reply: StateUpdate | ChangeBatch, result: BatchResult
    ) -> None:
        self._log_catching_up(fetch, reply, result)
        if result is BatchResult.MISMATCH:
            logger.error(
                "follower: state diverged from the source; loading a full image."
            )
            self._needs_image = True
        elif result is BatchResult.BEHIND and reply.revision >= reply.after:
            # Another source has told more while this reply was on its way.
            return
        elif result is BatchResult.BEHIND:
            self._avoid(fetch, result.value)
        elif result is BatchResult.OUT_OF_ORDER:
            return
        elif (
            self._has_caught_up_with(reply)
            and reply.confirmed_age > self._timing.stale_age
            and not self._awaits_confirmation(reply)
        ):
            self._log_avoided(fetch.source, "it is stale")
            self._choice.avoid_unconfirmed(fetch.source)
            self._delay_next_fetch()
        else:
            self._choice.record_confirmed(
                fetch.source, confirmed_age=reply.confirmed_age
            )

    def _awaits_confirmation(self, reply: StateUpdate | ChangeBatch) -> bool:
        """Whether to stay with a source that isn't confirmed yet, as nobody may be."""
        is_confirmed = reply.confirmed_age < UNCONFIRMED_AGE_SECONDS
        if is_confirmed or self._follower.state.revision > 0:
            return False
        now = self._clock.now()
        self._unconfirmed_since = min(self._unconfirmed_since, now)
        return now - self._unconfirmed_since < UNCONFIRMED_PATIENCE_SECONDS

    def _log_catching_up(
        self, fetch: OpenFetch, reply: StateUpdate | ChangeBatch, result: BatchResult
    ) -> None:
        """Log each reply until the copy was first confirmed."""
        if self._is_confirmed:
            return
        self._is_confirmed = self._follower.state.revision > 0
        log = logger.bind(
            source=fetch.source,
            result=result.value,
            revision=self._follower.fetched_revision,
            source_revision=reply.revision,
            source_age=round(reply.confirmed_age, 2),
            version=self._follower.fetched_version,
            seconds=round(self._clock.now() - fetch.sent_at, 3),
        )
        log.info("follower: received a reply while catching up.")
        if self._is_confirmed:
            log.info("follower: the copy is confirmed for the first time.")

    def _has_caught_up_with(self, reply: StateUpdate | ChangeBatch) -> bool:
        """Return whether the copy has every change that the source of ``reply`` has.

        Until then even a stale source is useful.
        """
        return self._follower.fetched_revision >= reply.revision

    def _on_snapshot_needed(self, fetch: OpenFetch, revision: int) -> None:
        if revision < self._follower.fetched_revision:
            self._avoid(fetch, BatchResult.BEHIND.value)
        else:
            self._needs_image = True

    def _avoid(self, fetch: OpenFetch, reason: str) -> None:
        self._log_avoided(fetch.source, reason)
        self._choice.avoid(fetch.source)
        self._delay_next_fetch()

    def _delay_next_fetch(self) -> None:
        self._unconfirmed_since = float("inf")
        self._next_fetch_at = self._clock.now() + self._timing.retry_delay

    def _log_avoided(self, source: str, reason: str) -> None:
        self._fetch_log.failed(reason)
        logger.bind(
            source=source,
            revision=self._follower.fetched_revision,
            age=round(min(self._follower.age, UNCONFIRMED_AGE_SECONDS), 2),
            reason=reason,
        ).info("follower: another source is asked.")

    def _on_request(self, received: PeerRequest) -> None:
        match received.message:
            case FetchChanges() as request:
                self._asked_at = self._recently_asked()
                self._asked_at[received.sender] = self._clock.now()
                self._record_reports(request.reports)
                self._incoming_fetches.add(request, received.reply)
            case FetchImage() as request:
                piece = self._follower.feed.piece(
                    request,
                    confirmed_at=self._follower.confirmed_at,
                    now=self._clock.now(),
                )
                received.reply.set_result(piece)

    def _record_reports(self, reports: tuple[HostReport, ...]) -> None:
        """Keep reports of other hosts; its own come back to it from those it asks."""
        self._reports.forget_older_than(REPORT_EXPIRY_SECONDS)
        self._reports.record(r for r in reports if r.host != self._bus.name)

    def _current_reports(self) -> tuple[HostReport, ...]:
        now = self._clock.now()
        others = tuple(
            attrs.evolve(timed.report, age=now - timed.reported_at)
            for timed in self._reports.younger_than(REPORT_EXPIRY_SECONDS)
        )
        if self._follower.state.revision == 0:
            # Earlier reports of this host stay valid: it refuses callers until then.
            return others
        own = HostReport(
            host=self._bus.name,
            domain=self._domain,
            revision=self._follower.state.revision,
            age=0.0,
        )
        return (own, *others)


def choose_sources(
    host: str, *, domain_hosts: tuple[str, ...], replicas: tuple[str, ...],
    relays: int = 2,
) -> tuple[str, ...]:  # fmt: skip
    """Return the sources of ``host`` in order of preference.

    The first ``relays`` hosts of a domain fetch from the control replicas and the
    other hosts from these relays, so that a control replica serves at most ``relays``
    hosts per domain, however many hosts it has. Every host can fall back to all other
    sources if some of its connections are lost.
    """
    others = tuple(name for name in domain_hosts if name != host)
    if host in domain_hosts[:relays]:
        # Another host of the domain comes second. A host that starts while its domain
        # is cut off then gets a reply before each control replica has timed out.
        return replicas[:1] + others[:1] + replicas[1:] + others[1:]
    return others[:relays] + replicas + others[relays:]
