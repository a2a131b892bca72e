"""Targets that leave and are followed by new ones, in series and overlapping."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from random import Random

import attrs

from bench.stops.records import Ledger
from bench.stops.reports import ReportedTarget, Reporter
from bench.stops.targets import StopTarget

MILLISECONDS_PER_SECOND = 1000
CALM_SECONDS = (0.2, 2.0)
AT_ONCE_SHARE = 0.3  # of the targets that report the leaving as soon as they say so
LEAD_SECONDS = (2.0, 6.0)
# The users' targets serve on for 2.5 s after the acknowledgement and a little longer.
STAY_SECONDS = (2.7, 4.0)
SAME_ID_SHARE = 0.25
SAME_ADDRESS_SHARE = 0.3
CLOSING_SHARE = 0.5
SIGN_OFF_ROUNDS = 3
SETTLE_SECONDS = 1.5  # until all hosts know a new target that was reported
POLL_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class TargetTerms:
    """What all targets of a run have in common."""

    ip: str
    service: str
    domain: str
    slots: int
    ledger: Ledger
    controls: Sequence[tuple[str, int]]


@attrs.frozen(kw_only=True)
class Departure:
    """How a target leaves, in seconds, and what its successor keeps of it."""

    calm_seconds: float
    lead_seconds: float
    stay_seconds: float
    keeps_id: bool
    keeps_address: bool
    closes_when_leaving: bool


def draw_departure(random: Random) -> Departure:
    """Draw a departure. ``lead_seconds`` is 0 if it is reported at once."""
    is_at_once = random.random() < AT_ONCE_SHARE
    lead_seconds = random.uniform(*LEAD_SECONDS)
    return Departure(
        calm_seconds=random.uniform(*CALM_SECONDS),
        lead_seconds=0.0 if is_at_once else lead_seconds,
        stay_seconds=random.uniform(*STAY_SECONDS),
        keeps_id=random.random() < SAME_ID_SHARE,
        keeps_address=random.random() < SAME_ADDRESS_SHARE,
        closes_when_leaving=random.random() < CLOSING_SHARE,
    )


@attrs.frozen(kw_only=True)
class Pace:
    """``begun`` is set when targets may leave, ``closing`` when the run ends.

    ``room`` bounds how many have left and have no known successor.
    """

    room: threading.Semaphore
    begun: threading.Event = attrs.field(factory=threading.Event)
    closing: threading.Event = attrs.field(factory=threading.Event)

    def sleep(self, seconds: float) -> bool:
        """Sleep, and return whether the run goes on."""
        return not self.closing.wait(seconds)

    def wait(self, event: threading.Event) -> bool:
        """Wait for ``event``, and return whether the run goes on."""
        while not event.wait(POLL_SECONDS):
            if self.closing.is_set():
                return False
        return not self.closing.is_set()

    def take_room(self) -> bool:
        """Wait until one more may leave, and return whether the run goes on."""
        while not self.room.acquire(timeout=POLL_SECONDS):
            if self.closing.is_set():
                return False
        return not self.closing.is_set()


class Succession:
    """One target after the other."""

    def __init__(
        self, *, name: str, terms: TargetTerms, random: Random, pace: Pace
    ) -> None:
        self._name = name
        self._terms = terms
        self._random = random
        self._pace = pace
        self._incarnations: list[str] = []
        self._current: ReportedTarget | None = None

    @property
    def current(self) -> ReportedTarget | None:
        """The target to report, if there is one."""
        return self._current

    @property
    def successors(self) -> Sequence[str]:
        """The incarnations that took another's place."""
        return tuple(self._incarnations[1:])

    def run(self) -> None:
        """Run targets until the run closes."""
        address = f"{self._terms.ip}:0"
        instance = self._new_instance()
        while not self._pace.closing.is_set():
            departure = draw_departure(self._random)
            target = StopTarget(
                address=address,
                instance=instance,
                born_ms=int(time.time() * MILLISECONDS_PER_SECOND),
                ledger=self._terms.ledger,
                closes_when_leaving=departure.closes_when_leaving,
            )
            with target.running():
                self._live(target, departure)
            instance = instance if departure.keeps_id else self._new_instance()
            keeps_address = departure.keeps_address
            address = target.address if keeps_address else f"{self._terms.ip}:0"

    def _new_instance(self) -> str:
        return f"i-{self._terms.service}-{self._name}-{len(self._incarnations)}"

    def _live(self, target: StopTarget, departure: Departure) -> None:
        pace = self._pace
        reported = ReportedTarget(
            target=target,
            service=self._terms.service,
            domain=self._terms.domain,
            slots=self._terms.slots,
        )
        self._incarnations.append(target.incarnation)
        self._current = reported
        self._report(reported)
        if not (pace.wait(reported.is_known) and pace.wait(pace.begun)):
            return
        if self.successors:
            pace.sleep(SETTLE_SECONDS)
            pace.room.release()
        if pace.sleep(departure.calm_seconds) and pace.take_room():
            self._depart(reported, departure)

    def _depart(self, reported: ReportedTarget, departure: Departure) -> None:
        reported.target.is_leaving = True
        if not self._pace.sleep(departure.lead_seconds):
            return
        reported.state = "draining"
        self._report(reported)
        if not self._pace.sleep(departure.stay_seconds):
            return
        self._current = None
        self._sign_off(reported)

    def _report(self, reported: ReportedTarget) -> None:
        for control in self._terms.controls:
            reported.report_to(control)

    def _sign_off(self, reported: ReportedTarget) -> None:
        for _ in range(SIGN_OFF_ROUNDS):
            for control in self._terms.controls:
                if reported.sign_off_at(control):
                    return


class Successions:
    """The targets of a service; at least one of them always stays."""

    def __init__(self, *, count: int, terms: TargetTerms, seed: int) -> None:
        self._terms = terms
        self._pace = Pace(room=threading.Semaphore(count - 1))
        self._successions = [
            Succession(
                name=str(number),
                terms=terms,
                random=Random(f"{seed}-target-{number}"),
                pace=self._pace,
            )
            for number in range(count)
        ]

    @property
    def successors(self) -> Sequence[str]:
        """The incarnations that took another's place."""
        return [name for each in self._successions for name in each.successors]

    def begin(self) -> None:
        """Let targets leave from now on."""
        self._pace.begun.set()

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run and report the targets until the block ends."""
        threads = [
            threading.Thread(target=each.run, daemon=True) for each in self._successions
        ]
        with ExitStack() as stack:
            for control in self._terms.controls:
                reporter = Reporter(control=control, targets=self._reported)
                stack.enter_context(reporter.running())
            try:
                for thread in threads:
                    thread.start()
                yield
            finally:
                self._pace.closing.set()
                for thread in threads:
                    thread.join()

    def _reported(self) -> Sequence[ReportedTarget]:
        return [each.current for each in self._successions if each.current is not None]
