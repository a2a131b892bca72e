"""What an entry host knows of its failure domain right now."""

from __future__ import annotations

import attrs

from chicoryhold.claims.keys import NO_GENERATION
from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import HelloReply

HELLO_INTERVAL = 0.5
REPLICA_SILENT_AFTER = 3.0


@attrs.frozen(kw_only=True)
class _Heard:
    reply: HelloReply
    hosts: tuple[str, ...]
    at: float


class DomainView:
    """The newest heartbeat answer of each domain replica.

    One thread calls :meth:`on_reply`; any thread may read, since each update replaces
    a whole record.
    """

    def __init__(self, *, replicas: tuple[str, ...], clock: Clock) -> None:
        self._replicas = replicas
        self._clock = clock
        self._heard: dict[str, _Heard] = {}

    @property
    def replicas(self) -> tuple[str, ...]:
        return self._replicas

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the domain replicas answered in the last seconds."""
        return len(self._recent()) > len(self._replicas) // 2

    @property
    def coordinator(self) -> str:
        """The coordinator by the newest lease that any replica told of."""
        newest = max(
            (heard.reply for heard in self._recent().values()),
            key=lambda reply: (bool(reply.coordinator), reply.epoch),
            default=None,
        )
        return newest.coordinator if newest else ""

    @property
    def hosts(self) -> frozenset[str]:
        """The domain's hosts that some replica hears and that aren't leaving."""
        recent = self._recent().values()
        return frozenset(host for heard in recent for host in heard.hosts)

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
        """When the freshest copy of the control state in the domain was current."""
        recent = self._recent().values()
        times = [heard.at - heard.reply.control_age for heard in recent]
        return max(times, default=float("-inf"))

    def on_reply(self, replica: str, reply: HelloReply, *, sent_at: float) -> None:
        """Take the answer to a hello that was sent at ``sent_at``."""
        known = self._heard.get(replica)
        hosts = reply.hosts
        if hosts is None:
            hosts = known.hosts if known and known.reply.digest == reply.digest else ()
        self._heard[replica] = _Heard(reply=reply, hosts=hosts, at=sent_at)

    def known_digest(self, replica: str) -> str:
        """Return the digest of the member list last heard from ``replica``."""
        known = self._heard.get(replica)
        return known.reply.digest if known else ""

    def _recent(self) -> dict[str, _Heard]:
        oldest = self._clock.now() - REPLICA_SILENT_AFTER
        known = list(self._heard.items())
        return {name: heard for name, heard in known if heard.at > oldest}
