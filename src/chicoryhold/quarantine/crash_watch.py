"""Notices which requests ran at a target when it crashed."""

from __future__ import annotations

import socket
import threading
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
CHECK_THREADS = 2
# A target that ended and wasn't found so may be replaced by a new process until then.
REPLACEMENT_SECONDS = 5.0
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
class _Loss:
    """The requests that ran at a target when its connections ended."""

    at: float
    address: str
    requests: set[bytes] = attrs.field(factory=set)
    has_crashed: bool = False


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
    ) -> None:  # fmt: skip
        self._on_crash = on_crash
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._is_cut_off = is_cut_off
        self._is_refusing = is_refusing
        self._losses: OrderedDict[tuple[str, int], _Loss] = OrderedDict()
        self._lock = threading.Lock()

    def record_lost(self, target: TargetProcess, request: bytes) -> None:
        """Note that a connection to ``target`` ended while ``request`` ran there."""
        key = (target.instance, target.born_ms)
        now = self._clock.now()
        with self._lock:
            loss = self._losses.get(key)
            is_new = loss is None or now - loss.at > REPLACEMENT_SECONDS
            if is_new:
                loss = self._losses[key] = _Loss(at=now, address=target.address)
            loss.requests.add(request)
            has_crashed = loss.has_crashed
            if len(self._losses) > MAX_WATCHED_TARGETS:
                self._losses.popitem(last=False)
        if has_crashed:
            self._report(key, {request})
        elif is_new:
            self._executor.submit(self._check, key, target.address)

    def record_targets(self, targets: Iterable[TargetProcess]) -> None:
        """Note which targets exist; a newer process shows that the former has ended."""
        now = self._clock.now()
        with self._lock:
            unclear = {
                key: loss.address
                for key, loss in self._losses.items()
                if not loss.has_crashed and now - loss.at <= REPLACEMENT_SECONDS
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

    def _check(self, key: tuple[str, int], address: str) -> None:
        if self._is_refusing(address) and not self._is_cut_off():
            self._confirm(key)

    def _confirm(self, key: tuple[str, int]) -> None:
        with self._lock:
            loss = self._losses.get(key)
            if loss is None or loss.has_crashed:
                return
            loss.has_crashed = True
            requests = set(loss.requests)
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
