"""Notices which requests ran at a target when it crashed."""

from __future__ import annotations

import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import contextmanager
from typing import Protocol

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.digest import loggable
from chicoryhold.quarantine.messages import CrashReport
from chicoryhold.targets.address import parse_address

CHECK_TIMEOUT_SECONDS = 0.4
CHECK_THREADS = 4
# A target that ended and wasn't found so may be replaced by a new process until then.
REPLACEMENT_SECONDS = 5.0
# A target in trouble may reset many connections. Checks of it are this far apart.
CHECK_INTERVAL_SECONDS = 0.5
# All connections to a target that crashes end within this time. What ended earlier was
# reset while the target ran.
CRASH_SECONDS = 1.0
MAX_WATCHED_TARGETS = 256


def is_refusing(address: str) -> bool:
    """Return whether the port at ``address`` refuses connections: no process has it.

    A target that is out of reach, or accepts the connection, may still run.
    """
    target = parse_address(address)
    try:
        with socket.create_connection(
            (str(target.ip), target.port), timeout=CHECK_TIMEOUT_SECONDS
        ):
            return False
    except ConnectionRefusedError:
        return True
    except OSError as error:
        logger.bind(address=address, reason=str(error)).debug(
            "crashes: the target can't be checked."
        )
        return False


class TargetProcess(Protocol):
    """A process of a target; ``born_ms`` tells it from earlier ones, if known."""

    @property
    def instance(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def born_ms(self) -> int: ...


@attrs.define(kw_only=True)
class _Losses:
    """The latest requests whose connections to one target process ended, and when.

    ``is_check_due`` means that a check has been asked for and hasn't begun.
    """

    address: str
    latest_at: float
    lost_at: dict[bytes, float] = attrs.field(factory=dict)
    checked_at: float = float("-inf")
    is_check_due: bool = False
    crashed_at: float | None = None

    @property
    def has_crashed(self) -> bool:
        return self.crashed_at is not None

    def add(self, request: bytes, now: float) -> None:
        """Add a request, and forget those that were reset before."""
        self.latest_at = now
        self.lost_at[request] = now
        self.lost_at = {
            request: at
            for request, at in self.lost_at.items()
            if at >= now - CRASH_SECONDS
        }

    def is_outdated(self, now: float) -> bool:
        """Whether these are too old to have to do with a loss that happens now."""
        since = self.latest_at if self.crashed_at is None else self.crashed_at
        return now - since > REPLACEMENT_SECONDS


class CrashWatch:
    """Collects the requests whose connections ended without an answer. Thread-safe.

    That alone shows no crash: targets reset connections too. A crash is reported with
    ``on_crash`` once the target's port refuses connections by ``is_refusing``, which
    runs on ``executor``, or a newer process has replaced it. A host that is cut off
    from all targets, by ``is_cut_off``, reports nothing.
    """

    def __init__(
        self, *, on_crash: Callable[[CrashReport], None], executor: Executor,
        clock: Clock, metrics: Metrics, is_cut_off: Callable[[], bool],
        is_refusing: Callable[[str], bool] = is_refusing,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:  # fmt: skip
        self._on_crash = on_crash
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._is_cut_off = is_cut_off
        self._is_refusing = is_refusing
        self._sleep = sleep
        self._losses: OrderedDict[tuple[str, int], _Losses] = OrderedDict()
        self._lock = threading.Lock()

    def record_lost(self, target: TargetProcess, request: bytes) -> None:
        """Note that a connection to ``target`` ended while ``request`` ran there."""
        key = (target.instance, target.born_ms)
        with self._lock:
            losses = self._losses_of(key, target.address)
            losses.add(request, self._clock.now())
            has_crashed = losses.has_crashed
            needs_check = not has_crashed and not losses.is_check_due
            losses.is_check_due = losses.is_check_due or needs_check
        if has_crashed:
            self._report(key, {request})
        elif needs_check:
            self._executor.submit(self._check, key, losses)

    def _losses_of(self, key: tuple[str, int], address: str) -> _Losses:
        losses = self._losses.get(key)
        now = self._clock.now()
        if losses is None or losses.is_outdated(now):
            losses = self._losses[key] = _Losses(address=address, latest_at=now)
            if len(self._losses) > MAX_WATCHED_TARGETS:
                self._losses.popitem(last=False)
        return losses

    def record_targets(self, targets: Iterable[TargetProcess]) -> None:
        """Note which targets exist; a newer process shows that the former has ended."""
        now = self._clock.now()
        with self._lock:
            unclear = {
                key: losses.address
                for key, losses in self._losses.items()
                if not losses.has_crashed and not losses.is_outdated(now)
            }
        if not unclear:
            return
        for target in targets:
            for (instance, born_ms), address in unclear.items():
                is_same_instance = instance == target.instance
                if (is_same_instance and target.born_ms > born_ms) or (
                    not is_same_instance
                    and address == target.address
                    and target.born_ms >= born_ms
                ):
                    self._confirm((instance, born_ms))

    def _check(self, key: tuple[str, int], losses: _Losses) -> None:
        next_at = losses.checked_at + CHECK_INTERVAL_SECONDS
        self._sleep(max(0.0, next_at - self._clock.now()))
        with self._lock:
            losses.is_check_due = False
            losses.checked_at = self._clock.now()
        if self._is_refusing(losses.address) and not self._is_cut_off():
            self._confirm(key)

    def _confirm(self, key: tuple[str, int]) -> None:
        with self._lock:
            losses = self._losses.get(key)
            if losses is None or losses.has_crashed:
                return
            losses.crashed_at = self._clock.now()
            requests = set(losses.lost_at)
        self._report(key, requests)

    def _report(self, key: tuple[str, int], requests: set[bytes]) -> None:
        instance, born_ms = key
        self._metrics.count("chicoryhold_requests_at_crashes", len(requests))
        logger.bind(
            target=instance, requests=sorted(loggable(each) for each in requests)
        ).warning("crashes: a target ended while requests ran there.")
        self._on_crash(
            CrashReport(
                instance=instance, born_ms=born_ms, requests=tuple(sorted(requests))
            )
        )


@contextmanager
def crash_check_threads() -> Iterator[Executor]:
    """Run the checks of a ``CrashWatch`` on threads that the stop doesn't wait for."""
    executor = ThreadPoolExecutor(CHECK_THREADS, thread_name_prefix="crash")
    try:
        yield executor
    finally:
        executor.shutdown(wait=False, cancel_futures=True)
