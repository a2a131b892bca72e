"""The requests that an actor sends in rounds, such as its heartbeats."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from types import UnionType
from typing import Any

import attrs
import pykka

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import tell_reply
from chicoryhold.hosts.bus import Bus


@attrs.frozen(kw_only=True)
class _Round:
    began_at: float
    futures: list[Future] = attrs.field(factory=list)


class RequestRounds:
    """Sends an actor's requests; a new round gives up those of old rounds.

    The requests of the last round stay open, and so do those of rounds that began less
    than ``open_seconds`` ago: a reply that takes longer is never received. Replies
    reach the actor as messages. Only the actor calls this.
    """

    def __init__(self, *, bus: Bus, clock: Clock, open_seconds: float = 0.0) -> None:
        self._bus = bus
        self._clock = clock
        self._open_seconds = open_seconds
        self._rounds: deque[_Round] = deque()

    def start(self) -> None:
        """Begin a round. Replies to those of old rounds are no longer waited for."""
        now = self._clock.now()
        while self._rounds and now - self._rounds[0].began_at >= self._open_seconds:
            for future in self._rounds.popleft().futures:
                self._bus.forget(future)
        self._rounds.append(_Round(began_at=now))

    def ask(
        self, peer: str, request: object, *, actor: pykka.ActorRef,
        kinds: type | UnionType, message: Callable[[Any], object],
    ) -> None:  # fmt: skip
        """Send ``request`` in this round; tell ``actor`` the reply as ``message``.

        A reply that isn't one of ``kinds`` is dropped.
        """
        future = self._bus.ask(peer, request)
        tell_reply(future, actor, kinds=kinds, message=message)
        self._rounds[-1].futures.append(future)
