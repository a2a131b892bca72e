"""What an entry host knows about the current state of its failure domain."""

from __future__ import annotations

import attrs

from chicoryhold.claims.keys import NO_GENERATION
from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import HelloReply

HELLO_INTERVAL_SECONDS = 0.5
HELLO_TIMEOUT_SECONDS = 3.0


@attrs.frozen(kw_only=True)
class _ReceivedReply:
    reply: HelloReply
    hosts: tuple[str, ...]
    sent_at: float


class DomainView:
    """The latest heartbeat reply of each domain replica.

    Only one thread may call :meth:`on_reply`. Any thread may read, since each update
    replaces a whole record.
    """

    def __init__(self, *, replicas: tuple[str, ...], clock: Clock) -> None:
        self._replicas = replicas
        self._clock = clock
        self._latest: dict[str, _ReceivedReply] = {}

    @property
    def replicas(self) -> tuple[str, ...]:
        return self._replicas

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the domain replicas has answered recently."""
        return len(self._recent()) > len(self._replicas) // 2

    @property
    def coordinator(self) -> str:
        """The coordinator with the newest lease that a replica reported, or ``""``."""
        newest = max(
            (received.reply for received in self._recent().values()),
            key=lambda reply: (bool(reply.coordinator), reply.epoch),
            default=None,
        )
        return newest.coordinator if newest else ""

    @property
    def hosts(self) -> frozenset[str]:
        """The hosts of the domain that any replica reports alive and not leaving."""
        recent = self._recent().values()
        return frozenset(host for received in recent for host in received.hosts)

    @property
    def generations(self) -> tuple[str, ...]:
        """The replicas' current claim generations, for new idempotency keys."""
        recent = self._recent()
        return tuple(
            recent[name].reply.generation if name in recent else NO_GENERATION
            for name in self._replicas
        )

    @property
    def control_confirmed_at(self) -> float:
        """When the newest control state copy in the domain was last confirmed."""
        recent = self._recent().values()
        times = [received.sent_at - received.reply.control_age for received in recent]
        return max(times, default=float("-inf"))

    def on_reply(self, replica: str, reply: HelloReply, *, sent_at: float) -> None:
        """Store the reply to a hello that was sent at ``sent_at``.

        A reply that a later one has overtaken is of no use.
        """
        previous = self._latest.get(replica)
        if previous is not None and previous.sent_at > sent_at:
            return
        hosts = reply.hosts
        if hosts is None:
            hosts = (
                previous.hosts
                if previous and previous.reply.digest == reply.digest
                else ()
            )
        self._latest[replica] = _ReceivedReply(
            reply=reply, hosts=hosts, sent_at=sent_at
        )

    def known_digest(self, replica: str) -> str:
        """Return the digest of the host list last received from ``replica``."""
        previous = self._latest.get(replica)
        return previous.reply.digest if previous else ""

    def _recent(self) -> dict[str, _ReceivedReply]:
        cutoff = self._clock.now() - HELLO_TIMEOUT_SECONDS
        latest = list(self._latest.items())
        return {
            name: received for name, received in latest if received.sent_at > cutoff
        }
