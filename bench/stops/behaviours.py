"""How the clients of a run behave: what they send, when and how fast."""

from __future__ import annotations

import time
from collections.abc import Sequence
from random import Random

import attrs

from bench.stops.clients import ClientGroup, RequestTerms
from bench.stops.records import HostLife
from bench.stops.wire import Pace

KILOBYTE = 1024
MEGABYTE = 1024 * KILOBYTE
STOP_MARGIN_SECONDS = 0.8  # a drain's limit is this much shorter than the grace
MIN_DRAIN_SECONDS = 1.5
MIN_DEADLINE_SECONDS = 1.5
MAX_DEADLINE_SECONDS = 2.9  # shorter than the timeout of all routes
UNSAFE_SHARE = 0.5
LARGE_SHARE = 0.03
CHUNKED_SHARE = 0.5
QUIET_SHARE = 0.25  # of the runs without a crowd
STOP_WAIT_SECONDS = 60.0  # longer than a run


def _draw_terms(random: Random, *, max_work_seconds: float) -> RequestTerms:
    """Draw a request; most are short, a few carry bodies of several megabytes."""
    work = random.choices(
        (random.uniform(0.01, 0.4), random.uniform(0.4, 1.2), random.uniform(1.2, 2.4)),
        (70, 24, 6),
    )[0]
    is_large = random.random() < LARGE_SHARE
    large_bytes = random.randint(2 * MEGABYTE, 4 * MEGABYTE)
    sends_large, receives_large = random.choice(
        ((True, False), (False, True), (True, True))
    )
    return RequestTerms(
        safe=random.random() >= UNSAFE_SHARE,
        work_seconds=min(work, max_work_seconds),
        deadline_seconds=random.uniform(MIN_DEADLINE_SECONDS, MAX_DEADLINE_SECONDS),
        body_bytes=large_bytes if is_large and sends_large else random.randint(0, 600),
        answer_bytes=large_bytes
        if is_large and receives_large
        else random.randint(0, 4 * KILOBYTE),
    )


@attrs.frozen(kw_only=True)
class Kept:
    """Keeps using its open connection until the host closes it."""

    name: str = "kept"
    keeps_connection: bool = True
    receive_buffer: int | None = None

    def pace(self, random: Random) -> Pace:
        return Pace()

    def terms(self, random: Random) -> RequestTerms:
        return _draw_terms(random, max_work_seconds=2.4)

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        is_long = random.random() < 0.2
        pause = random.uniform(0.5, 4.0) if is_long else random.uniform(0.0, 0.4)
        return time.monotonic() + pause


@attrs.frozen(kw_only=True)
class Fresh:
    """Opens a new connection for each request."""

    name: str = "fresh"
    keeps_connection: bool = False
    receive_buffer: int | None = None

    def pace(self, random: Random) -> Pace:
        return Pace()

    def terms(self, random: Random) -> RequestTerms:
        return _draw_terms(random, max_work_seconds=1.2)

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        # Usually at once; else the host has accepted the connection and reads late.
        pause = random.choice((0.0, 0.0, random.uniform(0.0, 0.5)))
        return time.monotonic() + pause


@attrs.frozen(kw_only=True)
class Window:
    """A time to send in, in seconds after the stop signal."""

    begin: float
    end: float


IDLE_END = Window(begin=MIN_DRAIN_SECONDS, end=MIN_DRAIN_SECONDS + 0.12)


def drain_windows(grace_seconds: float) -> tuple[Window, ...]:
    """Return windows around the shortest drain, around its limit, and of all grace."""
    limit = grace_seconds - STOP_MARGIN_SECONDS
    return (
        Window(begin=MIN_DRAIN_SECONDS - 0.3, end=MIN_DRAIN_SECONDS + 0.7),
        Window(begin=limit - 0.5, end=limit + 0.2),
        Window(begin=0.0, end=grace_seconds),
    )


@attrs.frozen(kw_only=True)
class Late:
    """Sends once on a new connection, then in one of ``windows`` after a stop signal.

    Where the host answers and keeps the connection open, it sends again soon.
    """

    windows: Sequence[Window]
    name: str = "late"
    keeps_connection: bool = True
    receive_buffer: int | None = None

    def pace(self, random: Random) -> Pace:
        return Pace()

    def terms(self, random: Random) -> RequestTerms:
        return attrs.evolve(
            _draw_terms(random, max_work_seconds=0.6),
            work_seconds=random.uniform(0.05, 0.6),
        )

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        if not sent:
            return time.monotonic()
        life.stopping.wait(STOP_WAIT_SECONDS)
        stopped_at = life.stopped_at or time.monotonic()
        window = random.choice(self.windows)
        moment = stopped_at + random.uniform(window.begin, window.end)
        if moment > time.monotonic():
            return moment
        return time.monotonic() + random.uniform(0.05, 0.5)


@attrs.frozen(kw_only=True)
class SlowSender:
    """Sends its body in small pieces, some as chunks."""

    name: str = "slow-sender"
    keeps_connection: bool = True
    receive_buffer: int | None = None

    def pace(self, random: Random) -> Pace:
        return Pace(
            piece_bytes=8 * KILOBYTE,
            send_pause_seconds=random.uniform(0.01, 0.15),
            chunked=random.random() < CHUNKED_SHARE,
        )

    def terms(self, random: Random) -> RequestTerms:
        return attrs.evolve(
            _draw_terms(random, max_work_seconds=0.6),
            body_bytes=random.randint(20 * KILOBYTE, 100 * KILOBYTE),
        )

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        return time.monotonic() + random.uniform(0.0, 0.6)


@attrs.frozen(kw_only=True)
class SlowReader:
    """Reads a response of several megabytes slowly."""

    name: str = "slow-reader"
    keeps_connection: bool = True
    receive_buffer: int | None = 128 * KILOBYTE

    def pace(self, random: Random) -> Pace:
        return Pace(
            piece_bytes=128 * KILOBYTE, read_pause_seconds=random.uniform(0.01, 0.04)
        )

    def terms(self, random: Random) -> RequestTerms:
        return attrs.evolve(
            _draw_terms(random, max_work_seconds=0.3),
            answer_bytes=random.randint(2 * MEGABYTE, 4 * MEGABYTE),
            deadline_seconds=MAX_DEADLINE_SECONDS,
        )

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        return time.monotonic() + random.uniform(0.1, 1.0)


@attrs.frozen(kw_only=True)
class Crowd:
    """Works long, so that many of them hold more requests than a host has threads."""

    name: str = "crowd"
    keeps_connection: bool = True
    receive_buffer: int | None = None

    def pace(self, random: Random) -> Pace:
        return Pace()

    def terms(self, random: Random) -> RequestTerms:
        return RequestTerms(
            safe=random.random() >= UNSAFE_SHARE,
            work_seconds=random.uniform(1.1, 1.7),
            deadline_seconds=MAX_DEADLINE_SECONDS,
        )

    def next_moment(self, random: Random, life: HostLife, sent: int) -> float:
        return time.monotonic() + random.uniform(0.0, 0.2)


def draw_groups(
    random: Random, *, grace_seconds: float, crowd_clients: int
) -> list[ClientGroup]:
    """Draw how many clients of each behaviour a host has; one host has the crowd.

    Some runs have only a few that send when an idle drain ends.
    """
    if not crowd_clients and random.random() < QUIET_SHARE:
        behaviour = Late(windows=(IDLE_END,))
        return [ClientGroup(behaviour=behaviour, count=6)]
    return [
        ClientGroup(behaviour=Late(windows=drain_windows(grace_seconds)), count=24),
        ClientGroup(behaviour=Kept(), count=random.randint(6, 16)),
        ClientGroup(behaviour=Fresh(), count=random.randint(2, 6)),
        ClientGroup(behaviour=SlowSender(), count=random.randint(1, 3)),
        ClientGroup(behaviour=SlowReader(), count=random.randint(1, 2)),
        ClientGroup(behaviour=Crowd(), count=crowd_clients, first_host_only=True),
    ]
