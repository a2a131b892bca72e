"""The requests that an actor sends in rounds, such as its heartbeats."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from types import UnionType
from typing import Any

import pykka

from chicoryhold.hosts.actors import tell_reply
from chicoryhold.hosts.bus import Bus


class RequestRounds:
    """Sends an actor's requests; a new round gives up those of the round before.

    Replies reach the actor as messages. Only the actor calls this.
    """

    def __init__(self, *, bus: Bus) -> None:
        self._bus = bus
        self._pending: list[Future] = []

    def start(self) -> None:
        """Begin a round. Replies to earlier requests are no longer waited for."""
        for future in self._pending:
            self._bus.forget(future)
        self._pending = []

    def ask(
        self, peer: str, request: object, *, actor: pykka.ActorRef,
        kinds: type | UnionType, message: Callable[[Any], object],
    ) -> None:  # fmt: skip
        """Send ``request`` in this round; tell ``actor`` the reply as ``message``.

        A reply that isn't one of ``kinds`` is dropped.
        """
        future = self._bus.ask(peer, request)
        tell_reply(future, actor, kinds=kinds, message=message)
        self._pending.append(future)
