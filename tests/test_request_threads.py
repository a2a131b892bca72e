"""Threads that are started when a request needs one, and end when none does."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from chicoryhold.clock import BootClock
from chicoryhold.http import request_threads
from chicoryhold.http.request_threads import RequestThreads
from chicoryhold.http.server import serve_http

TIMEOUT_SECONDS = 5.0
LONG_SECONDS = 60.0


@attrs.define(eq=False)
class HeldTask:
    """Runs until it is released."""

    started: threading.Event = attrs.field(factory=threading.Event)
    released: threading.Event = attrs.field(factory=threading.Event)
    ended: threading.Event = attrs.field(factory=threading.Event)
    cancelled: bool = False

    def service(self) -> None:
        self.started.set()
        self.released.wait(TIMEOUT_SECONDS)
        self.ended.set()

    def cancel(self) -> None:
        self.cancelled = True


@attrs.define(eq=False)
class FailingTask:
    def service(self) -> None:
        raise ValueError("this task fails")

    def cancel(self) -> None:
        pass


@contextmanager
def running(*, limit: int, idle_seconds: float = LONG_SECONDS) -> Iterator:
    pool = RequestThreads(limit=limit, clock=BootClock(), idle_seconds=idle_seconds)
    try:
        yield pool
    finally:
        pool.shutdown(timeout=TIMEOUT_SECONDS)


def add_held(pool: RequestThreads, count: int) -> list[HeldTask]:
    tasks = [HeldTask() for _ in range(count)]
    for task in tasks:
        pool.add_task(task)
    return tasks


def release(tasks: list[HeldTask]) -> None:
    for task in tasks:
        task.released.set()
    for task in tasks:
        assert task.ended.wait(TIMEOUT_SECONDS)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = BootClock().now() + TIMEOUT_SECONDS
    while not condition():
        assert BootClock().now() < deadline, "the condition wasn't met in time"
        threading.Event().wait(0.005)


def app(environ: dict, start_response: Callable) -> list[bytes]:
    start_response("204 No Content", [])
    return []


def test_a_server_without_requests_holds_no_thread_for_each_that_it_may_use():
    before = threading.active_count()
    with serve_http(app, "127.0.0.1:0", threads=160) as server:
        assert threading.active_count() - before <= 3
        assert server.thread_count == 1


def test_a_burst_runs_all_at_once_up_to_the_limit_and_the_rest_in_order():
    with running(limit=40) as pool:
        tasks = add_held(pool, 42)
        assert all(task.started.wait(TIMEOUT_SECONDS) for task in tasks[:40])
        assert not tasks[40].started.is_set()
        assert len(pool.queue) == 2
        release(tasks[:1])
        assert tasks[40].started.wait(TIMEOUT_SECONDS)
        assert not tasks[41].started.is_set()
        release(tasks[1:])


def test_threads_without_work_end_but_one():
    with running(limit=20, idle_seconds=0.02) as pool:
        release(add_held(pool, 20))
        wait_until(lambda: pool.thread_count == 1)
        release(add_held(pool, 1))


def test_a_light_load_keeps_no_more_threads_than_it_needs():
    with running(limit=20, idle_seconds=0.2) as pool:
        release(add_held(pool, 20))

        def is_small_while_busy() -> bool:
            release(add_held(pool, 1))
            return pool.thread_count <= 2

        wait_until(is_small_while_busy)


def test_a_task_that_fails_costs_no_thread():
    with running(limit=1) as pool:
        pool.add_task(FailingTask())
        release(add_held(pool, 1))
        assert pool.thread_count == 1


@contextmanager
def no_room_for_threads(monkeypatch) -> Iterator[None]:
    def fail(worker, first=None) -> None:
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr(request_threads._Worker, "start", fail)
        yield


def test_tasks_are_done_one_by_one_while_the_system_has_no_room_for_threads(
    monkeypatch,
):
    with running(limit=10) as pool, no_room_for_threads(monkeypatch):
        tasks = add_held(pool, 3)
        assert tasks[0].started.wait(TIMEOUT_SECONDS)
        assert not tasks[1].started.is_set()
        release(tasks)
        assert pool.thread_count == 1


def test_threads_are_started_again_once_there_is_room(monkeypatch):
    with running(limit=10) as pool:
        with no_room_for_threads(monkeypatch):
            tasks = add_held(pool, 2)
            assert tasks[0].started.wait(TIMEOUT_SECONDS)
        tasks += add_held(pool, 1)
        assert all(task.started.wait(TIMEOUT_SECONDS) for task in tasks)
        release(tasks)


def test_a_server_that_cannot_start_its_first_thread_says_so(monkeypatch):
    with no_room_for_threads(monkeypatch), pytest.raises(RuntimeError):
        RequestThreads(limit=1, clock=BootClock())


def test_a_raised_limit_takes_up_what_waits():
    with running(limit=1) as pool:
        tasks = add_held(pool, 3)
        pool.raise_limit(3)
        assert all(task.started.wait(TIMEOUT_SECONDS) for task in tasks)
        release(tasks)


def test_the_end_waits_for_what_runs_and_cancels_what_waits():
    with running(limit=1) as pool:
        first, second = add_held(pool, 2)
        assert first.started.wait(TIMEOUT_SECONDS)
        threading.Timer(0.05, first.released.set).start()
        assert pool.shutdown(timeout=TIMEOUT_SECONDS)
        assert first.ended.is_set()
        assert second.cancelled
        assert not second.started.is_set()


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.integers(1, 12)),
        st.tuples(st.just("release"), st.integers(1, 12)),
        st.tuples(st.just("fail"), st.just(1)),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(limit=st.integers(1, 8), steps=STEPS)
def test_every_task_runs_once_in_order_and_never_more_than_the_limit(limit, steps):
    with running(limit=limit, idle_seconds=0.001) as pool:
        open_tasks: list[HeldTask] = []
        done: list[HeldTask] = []
        for kind, count in steps:
            if kind == "fail":
                pool.add_task(FailingTask())
            elif kind == "add":
                open_tasks += add_held(pool, count)
            else:
                release(open_tasks[:count])
                done += open_tasks[:count]
                del open_tasks[:count]
            may_run = open_tasks[:limit]
            wait_until(lambda run=may_run: all(t.started.is_set() for t in run))
            assert not any(task.started.is_set() for task in open_tasks[limit:])
            assert pool.thread_count <= limit
        release(open_tasks)
        assert all(task.ended.is_set() for task in done + open_tasks)
