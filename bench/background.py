"""Runs a loop in a thread for the duration of a block."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def in_background(
    run: Callable[[], None], *, closing: threading.Event
) -> Iterator[None]:
    """Run ``run``, which ends soon after ``closing`` is set, until the block ends."""
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield
    finally:
        closing.set()
        thread.join()
