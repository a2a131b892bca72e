"""Threads that handle requests: as many as are busy, and a few that wait for work."""

from __future__ import annotations

import threading
import time
from collections import deque
from queue import Empty, SimpleQueue
from typing import Protocol

from loguru import logger

from chicoryhold.clock import Clock

IDLE_SECONDS = 3.0
FAILED_START_LOG_SECONDS = 1.0
_END = None  # tells a waiting thread to end


class Task(Protocol):
    """Work for one thread; ``cancel`` is called in place of ``service`` at the end."""

    def service(self) -> None: ...

    def cancel(self) -> None: ...


class _Worker:
    """A thread, and the queue through which it gets its next task while it waits."""

    def __init__(self, pool: RequestThreads) -> None:
        self.inbox: SimpleQueue[Task | None] = SimpleQueue()
        self._pool = pool

    def start(self, first: Task | None = None) -> None:
        """Raises ``RuntimeError`` if the system has no room for another thread."""
        thread = threading.Thread(
            target=self._run, args=(first,), name="request", daemon=True
        )
        thread.start()

    def _run(self, first: Task | None) -> None:
        task = first or self._pool.next_task(self)
        while task is not _END:
            try:
                task.service()
            except BaseException as error:
                logger.opt(exception=error).error("threads: a task has failed.")
            task = self._pool.next_task(self)


class RequestThreads:
    """Runs tasks in threads that it starts when none is free. Thread-safe.

    At most ``limit`` tasks run at once; others wait in ``queue``, in order. A thread
    that had no work for ``idle_seconds`` ends, unless it is the only one. The thread
    that became free last gets the next task, so that those beyond the usual need stay
    idle and end.

    It has the methods that waitress calls of its ``ThreadedTaskDispatcher``.
    """

    def __init__(
        self, *, limit: int, clock: Clock, idle_seconds: float = IDLE_SECONDS
    ) -> None:
        self.queue: deque[Task] = deque()
        self._limit = limit
        self._clock = clock
        self._idle_seconds = idle_seconds
        self._idle: list[_Worker] = []
        self._workers: set[_Worker] = set()
        self._is_shut_down = False
        self._next_failure_log = 0.0
        self._lock = threading.Lock()
        self._ended = threading.Condition(self._lock)
        first = _Worker(self)
        self._workers.add(first)
        first.start()

    @property
    def thread_count(self) -> int:
        """The number of threads, those that wait for work included."""
        return len(self._workers)

    def add_task(self, task: Task) -> None:
        """Run ``task`` as soon as a thread is free or can be started."""
        with self._lock:
            self.queue.append(task)
            self._assign()

    def raise_limit(self, limit: int) -> None:
        """Let up to ``limit`` tasks run at once from now on."""
        with self._lock:
            self._limit = max(limit, self._limit)
            self._assign()

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """End the threads, wait for them, and return whether tasks were cancelled."""
        until = time.monotonic() + timeout
        with self._lock:
            self._is_shut_down = True
            for worker in self._idle:
                worker.inbox.put(_END)
            self._workers.difference_update(self._idle)
            self._idle.clear()
            while self._workers and (left := until - time.monotonic()) > 0:
                self._ended.wait(left)
            if self._workers:
                logger.warning("threads: {} still run.", len(self._workers))
            pending = list(self.queue) if cancel_pending else []
            if cancel_pending:
                self.queue.clear()
        for task in pending:
            task.cancel()
        return bool(pending)

    def next_task(self, worker: _Worker) -> Task | None:
        """Return the next task of ``worker``, or ``_END``. It may wait for one."""
        with self._lock:
            if self._is_shut_down:
                return self._end(worker)
            if self.queue:
                return self.queue.popleft()
            self._idle.append(worker)
        try:
            return worker.inbox.get(timeout=self._idle_seconds)
        except Empty:
            return self._end_or_wait(worker)

    def _end_or_wait(self, worker: _Worker) -> Task | None:
        """End ``worker`` if it is idle and not the only one; else wait on for a task.

        One thread always stays: a task must not depend on the start of another.
        """
        with self._lock:
            if worker in self._idle and len(self._workers) > 1:
                self._idle.remove(worker)
                return self._end(worker)
        return worker.inbox.get()

    def _end(self, worker: _Worker) -> None:
        self._workers.discard(worker)
        self._ended.notify_all()
        return _END

    def _assign(self) -> None:
        """Give the waiting tasks to idle threads, and to new ones as far as allowed."""
        while self.queue and not self._is_shut_down:
            if self._idle:
                self._idle.pop().inbox.put(self.queue.popleft())
            elif len(self._workers) >= self._limit or not self._start_worker():
                return

    def _start_worker(self) -> bool:
        """Start a thread with the first task, and return whether that was possible."""
        worker = _Worker(self)
        task = self.queue.popleft()
        self._workers.add(worker)
        try:
            worker.start(task)
        except RuntimeError as error:
            self._workers.discard(worker)
            self.queue.appendleft(task)
            self._log_failed_start(error)
            return False
        return True

    def _log_failed_start(self, error: RuntimeError) -> None:
        now = self._clock.now()
        if now < self._next_failure_log:
            return
        self._next_failure_log = now + FAILED_START_LOG_SECONDS
        logger.bind(threads=len(self._workers), waiting=len(self.queue)).error(
            "threads: no thread can be started: {}. Requests wait for the others.",
            error,
        )
