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
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick, tell_reply
from chicoryhold.hosts.bus import Bus

FETCH_TIMEOUT_SECONDS = 1.5
RETRY_DELAY_SECONDS = 0.1
STALE_SOURCE_AGE_SECONDS = 3.0
SOURCE_BACKOFF_SECONDS = 10.0
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
class _TimedReport:
    report: HostReport
    reported_at: float


@attrs.frozen(kw_only=True)
class FetchTiming:
    """Intervals in seconds.

    A fetch fails after ``timeout``. A source whose state was confirmed more than
    ``stale_age`` ago is stale. After a failure the next fetch waits ``retry_delay``.
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
    """Fetches from one source at a time and serves its copy to other hosts.

    ``sources`` returns process names in order of preference. If a source doesn't
    reply, is behind the copy or is stale, the next one is used. ``on_applied`` is
    called after the revision of the follower's state has changed.
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
        self._backoff_until: dict[str, float] = {}
        self._found_stale_at: dict[str, float] = {}
        self._follower = follower
        self._sources = sources
        self._bus = bus
        self._clock = clock
        self._domain = domain
        self._incoming_fetches = PendingFetches(feed=follower.feed, clock=clock)
        self._reports: dict[str, _TimedReport] = {}
        self._source = ""
        self._suggested_source = ""
        self._fetch_number = 0
        self._sent_at = 0.0
        self._fetch_in_flight = False
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
        now = self._clock.now()
        self._fetch_log.ticked()
        self._fetch_log.write(
            age=self._follower.age,
            revision=self._follower.fetched_revision,
            version=self._follower.fetched_version,
            source=self._source,
        )
        if self._fetch_in_flight and now - self._sent_at > self._timing.timeout:
            self._back_off("the fetch timed out")
        if not self._fetch_in_flight and now >= self._next_fetch_at:
            self._fetch()

    def _fetch(self) -> None:
        self._source = self._choose_source()
        if not self._source:
            self._fetch_log.had_no_source()
            return
        self._fetch_log.asked()
        self._fetch_number += 1
        self._sent_at = self._clock.now()
        self._fetch_in_flight = True
        future = self._bus.ask(self._source, self._request())
        number = self._fetch_number
        tell_reply(
            future,
            self.actor_ref,
            kinds=FetchReply,
            message=lambda reply: _FetchReplied(
                number=number, reply=reply, arrived_at=self._clock.now()
            ),
        )

    def _choose_source(self) -> str:
        """Return the first source that has no back-off, preferring a suggested one."""
        sources = self._sources()
        if not sources:
            return ""
        now = self._clock.now()
        if self._suggested_source in sources and now >= self._backoff_until.get(
            self._suggested_source, 0.0
        ):
            return self._suggested_source
        # If every source has a back-off, use the one whose back-off ends first.
        return min(sources, key=lambda s: max(now, self._backoff_until.get(s, 0.0)))

    def _request(self) -> FetchChanges | FetchImage:
        if self._needs_image:
            return self._follower.image_request(self._source)
        return FetchChanges(
            after=self._follower.fetched_revision,
            reports=self._current_reports(),
            digest=self._follower.fetched_digest,
        )

    def _on_reply(self, message: _FetchReplied) -> None:
        if message.number != self._fetch_number or not self._fetch_in_flight:
            self._fetch_log.was_late()
            return
        self._fetch_in_flight = False
        self._log_reply(message)
        match message.reply:
            case StateUpdate() as update:
                result = self._follower.on_update(update, sent_at=self._sent_at)
                self._on_applied_reply(update, result)
            case ChangeBatch() as batch:
                result = self._follower.on_batch(batch, sent_at=self._sent_at)
                self._on_applied_reply(batch, result)
            case SnapshotNeeded(revision=revision):
                self._on_snapshot_needed(revision)
            case ImagePiece() as piece:
                self._on_piece(piece)
            case SourceUnavailable(leader=leader):
                self._avoid_unconfirmed_source("the source is unavailable", leader)
        if not self._fetch_in_flight and self._clock.now() >= self._next_fetch_at:
            self._fetch()

    def _log_reply(self, message: _FetchReplied) -> None:
        reply = message.reply
        has_state = isinstance(reply, StateUpdate | ChangeBatch)
        self._fetch_log.replied(
            sent_at=self._sent_at,
            arrived_at=message.arrived_at,
            held=reply.waited if has_state else 0.0,
            source_age=reply.confirmed_age if has_state else 0.0,
            source_revision=getattr(reply, "revision", 0),
        )

    def _on_piece(self, piece: ImagePiece) -> None:
        if piece.revision < self._follower.fetched_revision:
            self._needs_image = False
            self._back_off(BatchResult.BEHIND.value)
        else:
            self._needs_image = not self._follower.on_piece(piece, source=self._source)

    def _on_applied_reply(
        self, batch: StateUpdate | ChangeBatch, result: BatchResult
    ) -> None:
        self._log_catching_up(batch, result)
        if result is BatchResult.MISMATCH:
            logger.error(
                "follower: state diverged from the source; loading a full image."
            )
            self._needs_image = True
        elif result in (BatchResult.BEHIND, BatchResult.OUT_OF_ORDER):
            self._back_off(result.value)
        elif (
            self._has_caught_up_with(batch)
            and batch.confirmed_age > self._timing.stale_age
            and not self._awaits_confirmation(batch)
        ):
            self._avoid_unconfirmed_source("the source is stale")
        else:
            self._avoid_stale_sources(batch.confirmed_age)

    def _awaits_confirmation(self, batch: StateUpdate | ChangeBatch) -> bool:
        """Whether to stay with a source that isn't confirmed yet, as nobody may be."""
        is_confirmed = batch.confirmed_age < UNCONFIRMED_AGE_SECONDS
        if is_confirmed or self._follower.state.revision > 0:
            return False
        now = self._clock.now()
        self._unconfirmed_since = min(self._unconfirmed_since, now)
        return now - self._unconfirmed_since < UNCONFIRMED_PATIENCE_SECONDS

    def _log_catching_up(
        self, batch: StateUpdate | ChangeBatch, result: BatchResult
    ) -> None:
        """Log each batch until the copy was first confirmed."""
        if self._is_confirmed:
            return
        self._is_confirmed = self._follower.state.revision > 0
        logger.bind(
            source=self._source,
            result=result.value,
            revision=self._follower.fetched_revision,
            source_revision=batch.revision,
            source_age=round(batch.confirmed_age, 2),
            version=self._follower.fetched_version,
            seconds=round(self._clock.now() - self._sent_at, 3),
        ).info("follower: received a batch while catching up.")

    def _has_caught_up_with(self, batch: StateUpdate | ChangeBatch) -> bool:
        """Return whether the copy has every change that the source of ``batch`` has.

        Until then even a stale source is useful.
        """
        return self._follower.fetched_revision >= batch.revision

    def _on_snapshot_needed(self, revision: int) -> None:
        if revision < self._follower.fetched_revision:
            self._back_off(BatchResult.BEHIND.value)
        else:
            self._needs_image = True

    def _avoid_unconfirmed_source(self, reason: str, suggested: str = "") -> None:
        """Avoid a source that replies, but isn't confirmed, for a short time.

        Until a leader is elected that is so of all sources, and then of none.
        """
        self._found_stale_at[self._source] = self._clock.now()
        self._back_off(reason, suggested, self._timing.live_back_off)

    def _avoid_stale_sources(self, confirmed_age: float) -> None:
        """Avoid sources for longer that weren't confirmed when the current one was."""
        now = self._clock.now()
        for source, found_at in list(self._found_stale_at.items()):
            if found_at < now - confirmed_age:
                del self._found_stale_at[source]
                if source != self._source:
                    self._backoff_until[source] = now + SOURCE_BACKOFF_SECONDS

    def _back_off(
        self, reason: str, suggested: str = "", seconds: float = SOURCE_BACKOFF_SECONDS
    ) -> None:
        """Avoid the source for ``seconds``.

        ``suggested`` is used next if it is one of the sources; its own back-off ends.
        """
        logger.bind(
            source=self._source,
            revision=self._follower.fetched_revision,
            age=round(min(self._follower.age, UNCONFIRMED_AGE_SECONDS), 2),
            reason=reason,
        ).info("follower: backing off from the source.")
        self._fetch_log.failed(reason)
        now = self._clock.now()
        self._unconfirmed_since = float("inf")
        self._fetch_in_flight = False
        self._backoff_until[self._source] = now + seconds
        self._suggested_source = suggested
        self._backoff_until.pop(suggested, None)
        self._next_fetch_at = now + self._timing.retry_delay

    def _on_request(self, received: PeerRequest) -> None:
        match received.message:
            case FetchChanges() as request:
                self._record_reports(request.reports)
                self._incoming_fetches.add(request, received.reply)
            case FetchImage() as request:
                received.reply.set_result(self._follower.feed.piece(request))

    def _record_reports(self, reports: tuple[HostReport, ...]) -> None:
        now = self._clock.now()
        for report in reports:
            timed = _TimedReport(report=report, reported_at=now - report.age)
            self._reports[report.host] = timed

    def _current_reports(self) -> tuple[HostReport, ...]:
        now = self._clock.now()
        self._reports = {
            host: timed
            for host, timed in self._reports.items()
            if now - timed.reported_at < REPORT_EXPIRY_SECONDS
        }
        others = tuple(
            attrs.evolve(timed.report, age=now - timed.reported_at)
            for timed in self._reports.values()
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
