"""The series of signals that the entry hosts get, drawn from a seed."""

from __future__ import annotations

import signal
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random

import attrs

from bench.stops.hosts import EntryHost

EARLY_STOP_SHARE = 0.2
MAX_EARLY_STOP_SECONDS = 2.0
MAX_LIFE_SECONDS = 2.5
MIN_LIFE_SECONDS = 0.6
MAX_RELOADS = 2
MAX_SIGNALS_IN_DRAIN = 3
SIGINT_SHARE = 0.1


@attrs.frozen(kw_only=True)
class TimedSignal:
    """A signal, in seconds after the host was ready or after its stop signal."""

    seconds: float
    number: signal.Signals


@attrs.frozen(kw_only=True)
class Cycle:
    """What one process of a host gets until it exits.

    If ``early_stop_seconds`` is set, it is stopped so long after its start, ready or
    not.
    """

    life_seconds: float
    reloads: Sequence[TimedSignal]
    stop: signal.Signals
    in_drain: Sequence[TimedSignal]
    early_stop_seconds: float | None = None


def draw_cycle(random: Random, *, grace_seconds: float, is_first: bool) -> Cycle:
    """Draw the signals of one process; the first one of a host isn't stopped early."""
    life_seconds = random.uniform(MIN_LIFE_SECONDS, MAX_LIFE_SECONDS)
    reloads = _draw_signals(
        random, (signal.SIGHUP,), count=MAX_RELOADS, seconds=life_seconds
    )
    in_drain = _draw_signals(
        random,
        (signal.SIGHUP, signal.SIGTERM, signal.SIGINT),
        count=MAX_SIGNALS_IN_DRAIN,
        seconds=grace_seconds,
    )
    stop = signal.SIGINT if random.random() < SIGINT_SHARE else signal.SIGTERM
    early_stop_seconds = random.uniform(0.0, MAX_EARLY_STOP_SECONDS)
    is_early = random.random() < EARLY_STOP_SHARE and not is_first
    return Cycle(
        life_seconds=life_seconds,
        reloads=reloads,
        stop=stop,
        in_drain=in_drain,
        early_stop_seconds=early_stop_seconds if is_early else None,
    )


def _draw_signals(
    random: Random, numbers: Sequence[signal.Signals], *, count: int, seconds: float
) -> list[TimedSignal]:
    signals = [
        TimedSignal(seconds=random.uniform(0.0, seconds), number=random.choice(numbers))
        for _ in range(random.randint(0, count))
    ]
    return sorted(signals, key=lambda timed: timed.seconds)


class HostSchedule:
    """Stops and restarts one host until the time is over; the host ends stopped."""

    def __init__(self, *, host: EntryHost, random: Random, end_at: float) -> None:
        self._host = host
        self._random = random
        self._end_at = end_at

    def run(self) -> None:
        """Go through the cycles. The host is ready at the start."""
        is_first = True
        while True:
            cycle = draw_cycle(
                self._random, grace_seconds=self._host.grace_seconds, is_first=is_first
            )
            if not is_first:
                self._host.start()
            self._run_cycle(cycle)
            is_first = False
            if time.monotonic() + cycle.life_seconds >= self._end_at:
                return

    def _run_cycle(self, cycle: Cycle) -> None:
        if cycle.early_stop_seconds is not None:
            time.sleep(cycle.early_stop_seconds)
        else:
            self._host.wait_ready()
            self._send_signals(cycle.reloads, until=cycle.life_seconds)
        self._host.send_signal(cycle.stop)
        self._send_signals(cycle.in_drain, until=0.0)
        self._host.wait_exit()

    def _send_signals(self, signals: Sequence[TimedSignal], *, until: float) -> None:
        started_at = time.monotonic()
        for timed in signals:
            self._sleep_until(started_at + timed.seconds)
            self._host.send_signal(timed.number)
        self._sleep_until(started_at + until)

    def _sleep_until(self, moment: float) -> None:
        """Sleep, but no longer than the process lives."""
        while self._host.is_running and (left := moment - time.monotonic()) > 0:
            time.sleep(min(left, 0.02))


def run_schedules(*, hosts: Sequence[EntryHost], seed: int, seconds: float) -> None:
    """Run the schedules of all hosts at the same time; raise if one of them fails."""
    end_at = time.monotonic() + seconds
    schedules = [
        HostSchedule(host=host, random=Random(f"{seed}-{number}"), end_at=end_at)
        for number, host in enumerate(hosts)
    ]
    with ThreadPoolExecutor(len(schedules)) as pool:
        for future in [pool.submit(schedule.run) for schedule in schedules]:
            future.result()
