"""How the bus finds its peers, and how two processes authenticate each other.

``CurveTransport`` is the default: a key for every process, an allow list, encryption.
``PlaintextTransport`` is for networks where no keys can be distributed and only hosts
of the system can reach the port. It trusts every process that connects.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import zmq
from zmq.auth.thread import ThreadAuthenticator

from chicoryhold.hosts.curve import KeyPair


class Transport(Protocol):
    """What :class:`chicoryhold.hosts.bus.Bus` needs to know about its peers."""

    def start(self, context: zmq.Context) -> None: ...

    def stop(self) -> None: ...

    def prepare_listening(self, socket: zmq.Socket) -> None: ...

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None: ...

    def address_of(self, peer: str) -> str | None:
        """Return ``ip:port`` of a peer, or ``None`` if it must not be contacted."""

    def sender_of(self, routing_id: zmq.Frame, payload: zmq.Frame) -> str:
        """Return the name of the process that sent a message, or ``""`` if unknown."""


class CurveTransport:
    """Connects to named peers, whose addresses and public keys come from settings."""

    def __init__(
        self, *, keys: KeyPair, authorized: Mapping[str, bytes],
        peers: Mapping[str, str],
    ) -> None:  # fmt: skip
        self._keys = keys
        self._authorized = dict(authorized)
        self._names = {key.decode(): name for name, key in authorized.items()}
        self._peers = dict(peers)

    def start(self, context: zmq.Context) -> None:
        self._authenticator = ThreadAuthenticator(context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain="*", credentials_provider=self
        )

    def stop(self) -> None:
        self._authenticator.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer with the public ``key`` may connect.

        The ZeroMQ authenticator calls this method by its name.
        """
        return key.decode() in self._names

    def prepare_listening(self, socket: zmq.Socket) -> None:
        self._use_own_keys(socket)
        socket.curve_server = True

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None:
        self._use_own_keys(socket)
        socket.curve_serverkey = self._authorized[peer]

    def address_of(self, peer: str) -> str | None:
        return self._peers.get(peer) if peer in self._authorized else None

    def sender_of(self, routing_id: zmq.Frame, payload: zmq.Frame) -> str:
        return self._names.get(payload.get("User-Id"), "")

    def _use_own_keys(self, socket: zmq.Socket) -> None:
        socket.curve_secretkey = self._keys.secret
        socket.curve_publickey = self._keys.public


class PlaintextTransport:
    """Connects without encryption to peers named by IP address, all on one port."""

    def __init__(self, *, name: str, port: int) -> None:
        self._name = name
        self._port = port

    def start(self, context: zmq.Context) -> None:
        """Do nothing: this transport has no authenticator."""

    def stop(self) -> None:
        """Do nothing: this transport has no authenticator."""

    def prepare_listening(self, socket: zmq.Socket) -> None:
        # A restarted peer reconnects under the same name, possibly before its old
        # connection is known to be closed.
        socket.router_handover = True

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None:
        socket.routing_id = self._name.encode()
        # Queue nothing for a peer without an open connection. When the peer is
        # reachable again, the senders of such messages have already timed out.
        socket.immediate = True

    def address_of(self, peer: str) -> str | None:
        return f"{peer}:{self._port}" if peer else None

    def sender_of(self, routing_id: zmq.Frame, payload: zmq.Frame) -> str:
        return routing_id.bytes.decode("ascii", "replace")
