"""The requests that an actor sends in rounds, such as its heartbeats."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from types import UnionType
from typing import Any

import pykka

from chicoryhold.hosts.actors import tell_reply
from chicoryhold.hosts.bus import Bus


class RequestRounds:
    """Sends an actor's requests; a new round gives up those of old rounds.

    Replies are waited for in the last ``open_rounds`` rounds. These must last longer
    than a reply takes, or none is ever received. Replies reach the actor as messages.
    Only the actor calls this.
    """

    def __init__(self, *, bus: Bus, open_rounds: int = 1) -> None:
        self._bus = bus
        self._open_rounds = open_rounds
        self._rounds: deque[list[Future]] = deque([[]])

    def start(self) -> None:
        """Begin a round. Replies to those of old rounds are no longer waited for."""
        self._rounds.append([])
        while len(self._rounds) > self._open_rounds:
            for future in self._rounds.popleft():
                self._bus.forget(future)

    def ask(
        self, peer: str, request: object, *, actor: pykka.ActorRef,
        kinds: type | UnionType, message: Callable[[Any], object],
    ) -> None:  # fmt: skip
        """Send ``request`` in this round; tell ``actor`` the reply as ``message``.

        A reply that isn't one of ``kinds`` is dropped.
        """
        future = self._bus.ask(peer, request)
        tell_reply(future, actor, kinds=kinds, message=message)
        self._rounds[-1].append(future)
