"""The actor of a domain replica, which votes on claims and on coordinator leases."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

import attrs

from chicoryhold.claims.replica import ClaimReplica
from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, PeerRequest
from chicoryhold.hosts.domain_view import HELLO_TIMEOUT_SECONDS
from chicoryhold.hosts.messages import (
    AbandonClaim,
    FinishClaim,
    Hello,
    HelloReply,
    LeaseRequest,
    RecordClaim,
)
from chicoryhold.steering.lease import LeaseVoter


@attrs.frozen(kw_only=True)
class _Member:
    hello: Hello
    received_at: float


class DomainReplicaActor(CriticalActor):
    """Owns a claim replica and a lease voter. Runs on the first hosts of a domain.

    ``control_age`` returns the age of this host's control state in seconds.
    """

    def __init__(
        self, *, claims: ClaimReplica, lease: LeaseVoter, clock: Clock,
        control_age: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__()
        self._claims = claims
        self._lease = lease
        self._clock = clock
        self._control_age = control_age
        self._members: dict[str, _Member] = {}

    def on_receive(self, message: object) -> None:
        if not isinstance(message, PeerRequest):
            return
        match message.message:
            case RecordClaim() as request:
                message.reply.set_result(self._claims.record(request))
            case FinishClaim() as request:
                self._claims.finish(request)
            case AbandonClaim() as request:
                self._claims.abandon(request)
            case LeaseRequest() as request:
                self._on_lease(message, request)
            case Hello() as hello:
                message.reply.set_result(self._on_hello(message.sender, hello))

    def _on_lease(self, received: PeerRequest, request: LeaseRequest) -> None:
        if received.sender == request.candidate:
            received.reply.set_result(self._lease.on_request(request))

    def _on_hello(self, sender: str, hello: Hello) -> HelloReply:
        now = self._clock.now()
        self._members[sender] = _Member(hello=hello, received_at=now)
        cutoff = now - HELLO_TIMEOUT_SECONDS
        hosts = tuple(
            sorted(
                name
                for name, member in self._members.items()
                if member.received_at > cutoff and not member.hello.leaving
            )
        )
        digest = digest_of_names(hosts)
        return HelloReply(
            control_age=self._control_age(),
            generation=self._claims.generation,
            coordinator=self._lease.coordinator,
            epoch=self._lease.epoch,
            digest=digest,
            # With 126 hosts in a domain the list is most of the reply, and it rarely
            # changes.
            hosts=None if hello.known == digest else hosts,
        )


def digest_of_names(names: tuple[str, ...]) -> str:
    """Return a short digest of a list of names."""
    return hashlib.blake2b(" ".join(names).encode(), digest_size=6).hexdigest()
