"""The actor that keeps an entry host's copy of the control state up to date."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import NEVER_CONFIRMED
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
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick
from chicoryhold.hosts.bus import Bus

FETCH_TIMEOUT = 1.5
RETRY_PAUSE = 0.1
STALE_SOURCE_AGE = 3.0
SOURCE_MEMORY = 10.0
REPORT_MEMORY = 10.0


@attrs.frozen(kw_only=True)
class _Answered:
    number: int
    answer: object


@attrs.frozen(kw_only=True)
class _KnownReport:
    report: HostReport
    at: float


@attrs.frozen(kw_only=True)
class FetchTiming:
    """Seconds: how long a fetch may take, and from which age a source is stale."""

    timeout: float = FETCH_TIMEOUT
    stale: float = STALE_SOURCE_AGE
    pause: float = RETRY_PAUSE


class FollowerActor(CriticalActor):
    """Fetches from one source at a time and serves what it has to others.

    ``sources`` returns process names in order of preference; a source that is
    silent, behind, or itself stale is left for the next one. ``applied`` is called
    after each change of the copy.
    """

    def __init__(
        self, *, follower: Follower, sources: Callable[[], tuple[str, ...]], bus: Bus,
        clock: Clock, domain: str, timing: FetchTiming | None = None,
        applied: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self._timing = timing or FetchTiming()
        self._applied = applied
        self._applied_revision = -1
        self._left_until: dict[str, float] = {}
        self._follower = follower
        self._sources = sources
        self._bus = bus
        self._clock = clock
        self._domain = domain
        self._fetches = PendingFetches(feed=follower.feed, clock=clock)
        self._reports: dict[str, _KnownReport] = {}
        self._source = ""
        self._hint = ""
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
            case PeerRequest():
                self._on_asked(message)
        self._fetches.answer_ready(confirmed_age=self._follower.age)
        revision = self._follower.state.revision
        if self._applied is not None and revision != self._applied_revision:
            self._applied_revision = revision
            self._applied()

    def _tick(self) -> None:
        now = self._clock.now()
        if self._open and now - self._sent_at > self._timing.timeout:
            self._leave_source("it is silent")
        if not self._open and now >= self._next_at:
            self._fetch()

    def _fetch(self) -> None:
        self._source = self._choose_source()
        if not self._source:
            return
        self._number += 1
        self._sent_at = self._clock.now()
        self._open = True
        future = self._bus.ask(self._source, self._request())
        number = self._number
        future.add_done_callback(lambda done: self._deliver(number, done))

    def _choose_source(self) -> str:
        """Return the most preferred source that wasn't left lately."""
        sources = self._sources()
        if not sources:
            return ""
        now = self._clock.now()
        if self._hint in sources and now >= self._left_until.get(self._hint, 0.0):
            return self._hint
        # With every source left, the one that was left first gets the next try.
        return min(sources, key=lambda s: max(now, self._left_until.get(s, 0.0)))

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
        elif self._has_all_of(batch) and batch.confirmed_age > self._timing.stale:
            self._leave_source("it is stale")

    def _has_all_of(self, batch: ChangeBatch) -> bool:
        """Return whether the source of ``batch`` has nothing more to give.

        A stale source is still the best one while the copy is behind it.
        """
        return self._follower.state.revision >= batch.revision

    def _on_snapshot_needed(self, revision: int) -> None:
        if revision < self._follower.state.revision:
            self._leave_source(BatchResult.BEHIND.value)
        else:
            self._wants_image = True

    def _leave_source(self, reason: str, preferred: str = "") -> None:
        logger.bind(
            source=self._source,
            revision=self._follower.state.revision,
            age=round(min(self._follower.age, NEVER_CONFIRMED), 2),
            reason=reason,
        ).info("follower: the source is left.")
        now = self._clock.now()
        self._open = False
        self._left_until[self._source] = now + SOURCE_MEMORY
        self._hint = preferred
        self._left_until.pop(preferred, None)
        self._next_at = now + self._timing.pause

    def _on_asked(self, asked: PeerRequest) -> None:
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
