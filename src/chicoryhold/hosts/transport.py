"""How the bus finds a peer, and how two processes know each other.

``CurveTransport`` is the default: keys for every process, an allow list, encryption.
``OpenTransport`` is for networks where no keys can be handed out and only the
system's own hosts can reach the port; every process there is believed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import zmq
from zmq.auth.thread import ThreadAuthenticator

from chicoryhold.hosts.curve import KeyPair


class Transport(Protocol):
    """What :class:`chicoryhold.hosts.bus.Bus` needs to know of its peers."""

    def start(self, context: zmq.Context) -> None: ...

    def stop(self) -> None: ...

    def prepare_listening(self, socket: zmq.Socket) -> None: ...

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None: ...

    def address_of(self, peer: str) -> str | None:
        """Return ``ip:port`` of a peer, or ``None`` if it may not be talked to."""

    def sender_of(self, route: zmq.Frame, payload: zmq.Frame) -> str:
        """Return the name of the process that sent a message, empty if unknown."""


class CurveTransport:
    """Named peers with addresses and public keys from the settings."""

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
        """Tell the authenticator whether a peer with the public ``key`` may connect."""
        return key.decode() in self._names

    def prepare_listening(self, socket: zmq.Socket) -> None:
        self._use_own_keys(socket)
        socket.curve_server = True

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None:
        self._use_own_keys(socket)
        socket.curve_serverkey = self._authorized[peer]

    def address_of(self, peer: str) -> str | None:
        return self._peers.get(peer) if peer in self._authorized else None

    def sender_of(self, route: zmq.Frame, payload: zmq.Frame) -> str:
        return self._names.get(payload.get("User-Id"), "")

    def _use_own_keys(self, socket: zmq.Socket) -> None:
        socket.curve_secretkey = self._keys.secret
        socket.curve_publickey = self._keys.public


class PlaintextTransport:
    """Peers named by their IP number, all on one port, without encryption."""

    def __init__(self, *, name: str, port: int) -> None:
        self._name = name
        self._port = port

    def start(self, context: zmq.Context) -> None:
        """Nothing runs beside the sockets."""

    def stop(self) -> None:
        """Nothing runs beside the sockets."""

    def prepare_listening(self, socket: zmq.Socket) -> None:
        # A peer that restarted comes back under its name while the old connection
        # may still look open.
        socket.router_handover = True

    def prepare_connecting(self, socket: zmq.Socket, peer: str) -> None:
        socket.routing_id = self._name.encode()
        # Nothing waits for a peer that is out of reach: what it would get after the
        # path has healed is older than the sender's patience.
        socket.immediate = True

    def address_of(self, peer: str) -> str | None:
        return f"{peer}:{self._port}" if peer else None

    def sender_of(self, route: zmq.Frame, payload: zmq.Frame) -> str:
        return route.bytes.decode("ascii", "replace")
