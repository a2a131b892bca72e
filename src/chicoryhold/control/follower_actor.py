"""The actor that keeps an entry host's copy of the control state up to date."""

from __future__ import annotations

from concurrent.futures import Future

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.control.follower import BatchResult, Follower
from chicoryhold.control.messages import (
    ChangeBatch,
    FetchChanges,
    FetchImage,
    HostReport,
    ImagePiece,
    SnapshotNeeded,
    SourceUnavailable,
)
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import Asked, OwningActor, Tick
from chicoryhold.hosts.bus import Bus

FETCH_TIMEOUT = 1.5
RETRY_PAUSE = 0.1
STALE_SOURCE_AGE = 3.0
REPORT_MEMORY = 10.0


@attrs.frozen(kw_only=True)
class _Answered:
    number: int
    answer: object


@attrs.frozen(kw_only=True)
class _KnownReport:
    report: HostReport
    at: float


class FollowerActor(OwningActor):
    """Fetches from one source at a time and serves what it has to others.

    ``sources`` are process names in order of preference; a source that is silent,
    behind, or itself stale is left for the next one.
    """

    def __init__(
        self, *, follower: Follower, sources: tuple[str, ...], bus: Bus, clock: Clock,
        domain: str,
    ) -> None:  # fmt: skip
        super().__init__()
        self._follower = follower
        self._sources = sources
        self._bus = bus
        self._clock = clock
        self._domain = domain
        self._fetches = PendingFetches(feed=follower.feed, clock=clock)
        self._reports: dict[str, _KnownReport] = {}
        self._source = 0
        self._number = 0
        self._sent_at = 0.0
        self._open = False
        self._next_at = 0.0
        self._wants_image = False

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case _Answered():
                self._on_answer(message)
            case Asked():
                self._on_asked(message)
        self._fetches.answer_ready(confirmed_age=self._follower.age)

    def _tick(self) -> None:
        now = self._clock.now()
        if self._open and now - self._sent_at > FETCH_TIMEOUT:
            self._leave_source("it is silent")
        if not self._open and now >= self._next_at:
            self._fetch()

    def _fetch(self) -> None:
        self._number += 1
        self._sent_at = self._clock.now()
        self._open = True
        future = self._bus.ask(self._sources[self._source], self._request())
        number = self._number
        future.add_done_callback(lambda done: self._deliver(number, done))

    def _deliver(self, number: int, done: Future) -> None:
        self.actor_ref.tell(_Answered(number=number, answer=done.result()))

    def _request(self) -> FetchChanges | FetchImage:
        if self._wants_image:
            return FetchImage(
                revision=self._follower.image_revision,
                offset=self._follower.image_offset,
            )
        revision = self._follower.state.revision
        return FetchChanges(after=revision, reports=self._current_reports())

    def _on_answer(self, message: _Answered) -> None:
        if message.number != self._number or not self._open:
            return
        self._open = False
        match message.answer:
            case ChangeBatch() as batch:
                self._on_batch(batch)
            case SnapshotNeeded(revision=revision):
                self._on_snapshot_needed(revision)
            case ImagePiece() as piece:
                self._wants_image = not self._follower.on_piece(piece)
            case SourceUnavailable(leader=leader):
                self._leave_source("it can't answer", leader)
        if not self._open and self._clock.now() >= self._next_at:
            self._fetch()

    def _on_batch(self, batch: ChangeBatch) -> None:
        result = self._follower.on_batch(batch, sent_at=self._sent_at)
        if result is BatchResult.MISMATCH:
            logger.error("follower: the copy has another history. It is loaded anew.")
            self._wants_image = True
        elif result in (BatchResult.BEHIND, BatchResult.OUT_OF_ORDER):
            self._leave_source(result.value)
        elif batch.confirmed_age > STALE_SOURCE_AGE:
            self._leave_source("it is stale")

    def _on_snapshot_needed(self, revision: int) -> None:
        if revision < self._follower.state.revision:
            self._leave_source(BatchResult.BEHIND.value)
        else:
            self._wants_image = True

    def _leave_source(self, reason: str, preferred: str = "") -> None:
        left = self._sources[self._source]
        logger.debug("follower: source {} is left because {}.", left, reason)
        self._open = False
        self._source = (self._source + 1) % len(self._sources)
        if preferred in self._sources:
            self._source = self._sources.index(preferred)
        self._next_at = self._clock.now() + RETRY_PAUSE

    def _on_asked(self, asked: Asked) -> None:
        match asked.message:
            case FetchChanges() as request:
                self._record_reports(request.reports)
                self._fetches.add(request, asked.reply)
            case FetchImage() as request:
                asked.reply.set_result(self._follower.feed.piece(request))

    def _record_reports(self, reports: tuple[HostReport, ...]) -> None:
        now = self._clock.now()
        for report in reports:
            known = _KnownReport(report=report, at=now - report.age)
            self._reports[report.host] = known

    def _current_reports(self) -> tuple[HostReport, ...]:
        now = self._clock.now()
        self._reports = {
            host: known
            for host, known in self._reports.items()
            if now - known.at < REPORT_MEMORY
        }
        others = tuple(
            attrs.evolve(known.report, age=now - known.at)
            for known in self._reports.values()
        )
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

    The first hosts of a domain fetch from the control replicas, the others from
    them, so that the control replicas serve two hosts a domain whatever its size.
    Every host can fall back on the others, whichever of its links is cut.
    """
    others = tuple(name for name in domain_hosts if name != host)
    if host in domain_hosts[:relays]:
        # A neighbour comes second: a host that starts in a domain that is cut off
        # finds it before it has waited for every control replica.
        return replicas[:1] + others[:1] + replicas[1:] + others[1:]
    return others[:relays] + replicas + others[relays:]
