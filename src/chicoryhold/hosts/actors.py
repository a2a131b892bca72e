"""Base class of the actors, and what passes bus messages and timer ticks to them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from types import UnionType
from typing import Any

import attrs
import pykka
from loguru import logger

from chicoryhold.crash import create_critical_thread, exit_after_failure


@attrs.frozen(kw_only=True)
class Tick:
    """Sent to an actor at regular intervals to trigger its periodic work."""


@attrs.frozen(kw_only=True)
class PeerRequest:
    """A message from another process. The actor sets the result of ``reply``."""

    sender: str
    message: object
    reply: Future


class CriticalActor(pykka.ThreadingActor):
    """An actor whose failure ends the process.

    Without one of its actors a process would go on accepting work that it can't
    finish, so it exits at once and its supervisor restarts it.
    """

    use_daemon_thread = True

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        exit_after_failure("actor", type(self).__name__, exception_value)


@contextmanager
def dropping_bad_messages(request: PeerRequest) -> Iterator[None]:
    """Log and drop the message of a peer if handling it fails.

    For actors whose state stays consistent then. The peer would send the message to the
    next host after this one has exited, and so end all of them.
    """
    try:
        yield
    except Exception as error:
        logger.opt(exception=error).error(
            "actor: handling {} failed; dropped the message from {}.",
            type(request.message).__name__,
            request.sender,
        )


def forward_to(actor: pykka.ActorRef) -> Callable[[str, object], Future]:
    """Return a bus handler that passes each message to ``actor``."""

    def handler(sender: str, message: object) -> Future:
        reply: Future = Future()
        _tell(actor, PeerRequest(sender=sender, message=message, reply=reply))
        return reply

    return handler


def tell_reply(
    future: Future, actor: pykka.ActorRef, *, kinds: type | UnionType,
    message: Callable[[Any], object],
) -> None:  # fmt: skip
    """Tell ``actor`` the result of ``message(reply)`` once ``future`` has a reply.

    A reply that isn't one of ``kinds`` is dropped, as if it had been lost on the way.
    """

    def deliver(done: Future) -> None:
        reply = done.result()
        if isinstance(reply, kinds):
            _tell(actor, message(reply))
        else:
            logger.warning(
                "actor: dropped a reply of the unexpected kind {} for {}.",
                type(reply).__name__,
                actor.actor_class.__name__,
            )

    future.add_done_callback(deliver)


def _tell(actor: pykka.ActorRef, message: object) -> None:
    """Tell ``actor`` a message; drop it if the actor has stopped.

    Messages arrive while a process stops, because its bus stops after its actors.
    """
    try:
        actor.tell(message)
    except pykka.ActorDeadError:
        logger.debug(
            "actor: dropped {} because {} has stopped.",
            type(message).__name__,
            actor.actor_class.__name__,
        )


@contextmanager
def running_actor(actor: pykka.ActorRef, *, interval: float) -> Iterator[None]:
    """Send ``actor`` a tick now and every ``interval`` seconds; stop it on exit."""
    stopping = threading.Event()

    def run() -> None:
        actor.tell(Tick())
        while not stopping.wait(interval):
            actor.tell(Tick())

    thread = create_critical_thread(run, name="ticker")
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()
        actor.stop()
