"""What hosts tell each other about who is there."""

from __future__ import annotations

from chicoryhold.codec import message
from chicoryhold.state.changes import Change, Outcome


@message
class ControlHost:
    """A host that runs a control replica. ``name`` is its name on the bus."""

    name: str
    domain: str
    region: str


@message
class EntryHost:
    """A host that takes callers' requests at ``address``.

    ``ready`` is false before it has a configuration and while it is leaving.
    """

    name: str
    domain: str
    region: str
    address: str
    ready: bool


@message
class EntryPresence:
    """An entry host is there."""

    host: EntryHost


@message
class ControlHosts:
    """The control hosts that the answering one has heard lately, itself included.

    ``entry_hosts`` says how many entry hosts it has heard of in the last while.
    """

    hosts: tuple[ControlHost, ...]
    entry_hosts: int = 0


@message
class SeenEntryHost:
    """``age`` is how many seconds ago the sender heard the host itself."""

    host: EntryHost
    age: float


@message
class SeenTarget:
    """A target whose reports the sender received lately."""

    instance: str
    born_ms: int


@message
class ControlPresence:
    """A control host is there, and this is what it has heard itself since the last."""

    host: ControlHost
    entry_hosts: tuple[SeenEntryHost, ...]
    targets: tuple[SeenTarget, ...]


@message
class ForwardedChange:
    """A change that a control host received and passes on to the leader."""

    change: Change


@message
class ForwardedOutcome:
    """``outcome`` is missing if the asked host doesn't lead or lost its lead."""

    outcome: Outcome | None


@message
class ReadConfiguration:
    """Asks the leader for the newest accepted configuration."""


@message
class ConfigurationRead:
    """``text`` is the compressed document; ``proved`` is false if it may be old."""

    proved: bool
    version: int = 0
    text: bytes = b""
