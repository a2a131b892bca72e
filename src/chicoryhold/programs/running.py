"""What every long-running program shares: flags, errors, signals."""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from absl import flags

from chicoryhold.errors import ChicoryholdError

USAGE_EXIT_CODE = 2
FAILURE_EXIT_CODE = 1


_HELP = flags.DEFINE_bool("help", False, "Show this page.", short_name="h")


def run_program(main: Callable[[list[str]], int | None], *, usage: str) -> None:
    """Parse flags, run ``main`` and exit; expected errors become one line each."""
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        _fail(f"{error}; see --help", USAGE_EXIT_CODE)
    if _HELP.value:
        print(usage.replace("%s", sys.argv[0].rpartition("/")[2]))
        print("\n".join(map(flags.FLAGS.module_help, _defining_modules())))
        sys.exit(0)
    try:
        sys.exit(main(arguments[1:]))
    except ChicoryholdError as error:
        _fail(str(error), FAILURE_EXIT_CODE)
    except KeyboardInterrupt:
        _fail("interrupted", FAILURE_EXIT_CODE)


def _defining_modules() -> list[str]:
    names = flags.FLAGS.flags_by_module_dict()
    return sorted(name for name in names if name.startswith("chicoryhold."))


def _fail(message: str, code: int) -> None:
    print(f"{sys.argv[0].rpartition('/')[2]}: {message}", file=sys.stderr)
    sys.exit(code)


@contextmanager
def stop_signals() -> Iterator[threading.Event]:
    """Yield an event that is set by SIGTERM or SIGINT."""
    stopping = threading.Event()

    def on_signal(number: int, frame: object) -> None:
        stopping.set()

    previous = {
        number: signal.signal(number, on_signal)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield stopping
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@contextmanager
def on_hangup(reload: Callable[[], None]) -> Iterator[None]:
    """Call ``reload`` at each SIGHUP, which would end the process otherwise."""
    previous = signal.signal(signal.SIGHUP, lambda number, frame: reload())
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def end_soon(seconds: float) -> None:
    """End this process after ``seconds`` even if a part of it can't stop.

    For a process whose work is done: a thread that waits for a disk or a peer must
    not keep it until the platform kills it.
    """
    timer = threading.Timer(seconds, os._exit, args=(0,))
    timer.daemon = True
    timer.start()
