"""What a control host asks of the leader, which may be its own replica."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, TimeoutError as FutureTimeout

import pykka

from chicoryhold.consensus.messages import LogPosition
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.replica_requests import (
    Propose,
    Read,
    ReadPosition,
    process_name,
)
from chicoryhold.errors import (
    NotLeader,
    OrderOvertaken,
    PeerTimeout,
    ResultUnknown,
)
from chicoryhold.hosts.bus import Bus
from chicoryhold.membership.messages import (
    ConfigurationRead,
    ForwardedChange,
    ForwardedOutcome,
    ReadConfiguration,
)
from chicoryhold.state.changes import Change, Outcome


class LeaderRequests:
    """Asks the leader that this host knows, once a call. Thread-safe.

    Each method returns ``None`` if there is no usable reply within ``timeout`` seconds.
    ``read_own`` returns the configuration of this host, for when it leads itself.
    """

    def __init__(
        self, *, replica: Replica, actor: pykka.ActorRef, bus: Bus,
        read_own: Callable[[], ConfigurationRead],
    ) -> None:  # fmt: skip
        self._replica = replica
        self._actor = actor
        self._bus = bus
        self._read_own = read_own

    @property
    def name(self) -> str:
        """The process name of the leader, or ``""`` if none is known."""
        return process_name(self._replica.leader or "")

    def try_propose(
        self, change: Change, timeout: float, *, position: LogPosition | None = None
    ) -> Outcome | None:
        leader = self.name
        if leader == self._bus.name:
            reply: Future = Future()
            self._actor.tell(Propose(change=change, reply=reply, position=position))
            try:
                return reply.result(timeout)
            except (NotLeader, OrderOvertaken, ResultUnknown, FutureTimeout):
                return None
        if not leader:
            return None
        forwarded = ForwardedChange(change=change, position=position)
        answer = self._ask(leader, forwarded, timeout)
        return answer.outcome if isinstance(answer, ForwardedOutcome) else None

    def try_read(self, timeout: float) -> ConfigurationRead | None:
        leader = self.name
        if leader == self._bus.name:
            reply: Future = Future()
            self._actor.tell(Read(reply=reply))
            try:
                reply.result(timeout)
            except (NotLeader, FutureTimeout):
                return None
            return self._read_own()
        if not leader:
            return None
        answer = self._ask(leader, ReadConfiguration(), timeout)
        return answer if isinstance(answer, ConfigurationRead) else None

    def try_read_position(self, timeout: float) -> LogPosition | None:
        """Return the end of the leader's log.

        It needs no proof: if the leader is one no more, it can't have an order of that
        position accepted.
        """
        leader = self.name
        if leader == self._bus.name:
            reply: Future = Future()
            self._actor.tell(ReadPosition(reply=reply))
            try:
                return reply.result(timeout)
            except (NotLeader, FutureTimeout):
                return None
        if not leader:
            return None
        answer = self._ask(leader, ReadConfiguration(position_only=True), timeout)
        return answer.position if isinstance(answer, ConfigurationRead) else None

    def _ask(self, leader: str, message: object, timeout: float) -> object | None:
        try:
            return self._bus.call(leader, message, timeout=timeout)
        except PeerTimeout:
            return None
