"""What happens to hosts during a run, drawn from a seed; it comes in series."""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random

from bench.stops.hosts import PlatformProcess
from bench.storms.event_log import EventLog
from bench.storms.installation import LinkedHost
from bench.storms.links import Speed

QUIET_SECONDS = (0.2, 1.5)
PAUSE_SECONDS = (0.3, 4.0)
SLOW_SECONDS = (2.0, 7.0)
SLOW_DELAY_SECONDS = (0.05, 0.6)
SLOW_BYTES_PER_SECOND = (30_000, 250_000)
CONTROL_PAUSE_SECONDS = (0.2, 2.0)
CONTROL_DOWN_SECONDS = (0.0, 2.0)
READY_SHARE = 0.7  # of restarts after which nothing else happens until it is ready


class HostEvents:
    """Pauses, restarts and slows down one entry host until ``end_at``.

    A steady host is only slowed down.
    """

    def __init__(
        self, *, linked: LinkedHost, random: Random, end_at: float, counts: Counter,
        log: EventLog, is_steady: bool,
    ) -> None:  # fmt: skip
        self._linked = linked
        self._random = random
        self._end_at = end_at
        self._counts = counts
        self._log = log
        self._name = linked.host.name
        self._fast_again_at = 0.0
        self._events = (
            (self._slow_down,)
            if is_steady
            else (self._pause, self._restart, self._slow_down, self._slow_and_pause)
        )

    def run(self) -> None:
        while _sleep(self._random.uniform(*QUIET_SECONDS), self._end_at):
            self._restore_speed()
            event = self._random.choice(self._events)
            self._counts[event.__name__.strip("_")] += 1
            event()
        self._linked.set_speed(Speed())
        self._log.write(self._name, "its links are fast until the end")

    def _pause(self) -> None:
        self._log.write(self._name, "paused")
        self._linked.pause()
        time.sleep(self._random.uniform(*PAUSE_SECONDS))
        self._linked.resume()
        self._log.write(self._name, "resumed")

    def _restart(self) -> None:
        host = self._linked.host
        if self._random.random() < 0.5:
            self._log.write(self._name, "SIGTERM")
            host.send_signal(signal.SIGTERM)
            host.wait_exit()
        else:
            self._log.write(self._name, "killed")
            host.kill()
        host.start()
        self._log.write(self._name, "started")
        if self._random.random() < READY_SHARE:
            host.wait_ready()

    def _slow_down(self) -> None:
        draw = self._random.uniform
        speed = Speed(
            delay=draw(*SLOW_DELAY_SECONDS),
            bytes_per_second=draw(*SLOW_BYTES_PER_SECOND),
        )
        self._linked.set_speed(speed)
        self._log.write(
            self._name,
            "its links are slow",
            delay=speed.delay,
            bytes_per_second=speed.bytes_per_second,
        )
        self._fast_again_at = time.monotonic() + draw(*SLOW_SECONDS)

    def _slow_and_pause(self) -> None:
        self._slow_down()
        self._pause()

    def _restore_speed(self) -> None:
        if 0 < self._fast_again_at < time.monotonic():
            self._linked.set_speed(Speed())
            self._log.write(self._name, "its links are fast")
            self._fast_again_at = 0.0


class ControlEvents:
    """Pauses and restarts control hosts, one at a time, until ``end_at``."""

    def __init__(
        self, *, controls: Sequence[PlatformProcess], random: Random, end_at: float,
        counts: Counter, log: EventLog,
    ) -> None:  # fmt: skip
        self._controls = controls
        self._random = random
        self._end_at = end_at
        self._counts = counts
        self._log = log

    def run(self) -> None:
        draw = self._random.uniform
        while _sleep(draw(1.0, 4.0), self._end_at):
            control = self._random.choice(self._controls)
            if self._random.random() < 0.6:
                self._counts["control pause"] += 1
                self._log.write(control.name, "paused")
                control.send_signal(signal.SIGSTOP)
                time.sleep(draw(*CONTROL_PAUSE_SECONDS))
                control.send_signal(signal.SIGCONT)
                self._log.write(control.name, "resumed")
            else:
                self._counts["control restart"] += 1
                self._log.write(control.name, "killed")
                control.kill()
                time.sleep(draw(*CONTROL_DOWN_SECONDS))
                control.start()
                self._log.write(control.name, "started")


def run_events(
    *, hosts: Sequence[LinkedHost], steady_host: LinkedHost,
    controls: Sequence[PlatformProcess], seed: int, seconds: float, log: EventLog,
) -> Counter:  # fmt: skip
    """Run the events of all hosts at the same time, and return how many there were."""
    end_at = time.monotonic() + seconds
    counts: Counter = Counter()
    runs: list[Callable[[], None]] = [
        HostEvents(
            linked=linked,
            random=Random(f"{seed}-{number}"),
            end_at=end_at,
            counts=counts,
            log=log,
            is_steady=linked is steady_host,
        ).run
        for number, linked in enumerate([*hosts, steady_host])
    ]
    control_random = Random(f"{seed}-control")
    runs.append(
        ControlEvents(
            controls=controls,
            random=control_random,
            end_at=end_at,
            counts=counts,
            log=log,
        ).run
    )
    with ThreadPoolExecutor(len(runs)) as pool:
        for future in [pool.submit(run) for run in runs]:
            future.result()
    return counts


def _sleep(seconds: float, end_at: float) -> bool:
    """Sleep, and return whether the run goes on after that."""
    left = end_at - time.monotonic()
    time.sleep(max(0.0, min(seconds, left)))
    return seconds < left
