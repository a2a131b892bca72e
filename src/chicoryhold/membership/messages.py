"""Messages by which hosts tell each other which hosts and targets are alive."""

from __future__ import annotations

from chicoryhold.codec import message
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS, LogPosition
from chicoryhold.quarantine.messages import CrashReport, QuarantinedRequest
from chicoryhold.state.changes import Change, Outcome


@message
class ControlHost:
    """A host that runs a control replica. ``name`` is its name on the bus."""

    name: str
    domain: str
    region: str


@message
class EntryHost:
    """A host that accepts callers' requests at ``address``.

    ``ready`` is false before it has a configuration and while it is leaving.
    ``reaches_targets`` is false while it is cut off from all targets, ``current`` while
    its copy of the control state is too old to decide by.
    """

    name: str
    domain: str
    region: str
    address: str
    ready: bool
    reaches_targets: bool = True
    current: bool = True


@message
class SeenLimit:
    """What an answer of a target said ``age`` seconds ago about its limit.

    ``rate`` is in requests per second from all hosts together, ``None`` if the answer
    of a target that had named a limit named none. ``born_ms`` is that of the process.
    """

    instance: str
    born_ms: int
    rate: float | None
    age: float


@message
class EntryPresence:
    """The report of an entry host to a control host, sent periodically.

    ``limits`` are those that differ from what the control host is known to have.
    ``crashes`` are the host's latest reports.
    """

    host: EntryHost
    limits: tuple[SeenLimit, ...] = ()
    crashes: tuple[CrashReport, ...] = ()


@message
class ControlHosts:
    """The live control hosts known to the sender, including itself.

    ``entry_hosts`` is the number of entry hosts in its registry, silent ones included.
    If the receiver is cut off from all targets, ``relay_hosts`` are entry hosts that
    aren't. ``limits`` are those of all targets that the sender knows, ``quarantined``
    the requests that no host may send. ``confirmed_age`` is how many seconds ago the
    sender's copy of the control state was confirmed to be the newest. With
    ``others_serve``, enough entry hosts of the receiver's region have current copies.
    """

    hosts: tuple[ControlHost, ...]
    entry_hosts: int = 0
    relay_hosts: tuple[EntryHost, ...] = ()
    limits: tuple[SeenLimit, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    confirmed_age: float = UNCONFIRMED_AGE_SECONDS
    others_serve: bool = False


@message
class SeenEntryHost:
    """An entry host that reported to the sender directly, ``age`` seconds ago."""

    host: EntryHost
    age: float


@message
class SeenTarget:
    """A target that reported to the sender since its last presence message."""

    instance: str
    born_ms: int


@message
class ControlPresence:
    """The report of a control host to the others, sent periodically and on changes.

    It lists the live entry hosts that report to the sender directly, and the targets
    that reported to it since its last message, limits of targets, and the requests that
    no host may send.
    """

    host: ControlHost
    entry_hosts: tuple[SeenEntryHost, ...]
    targets: tuple[SeenTarget, ...]
    limits: tuple[SeenLimit, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()


@message
class ForwardedChange:
    """A change that a control host received and forwards to the leader.

    With ``position``, the leader refuses it if a later order on the same matter may be
    in its log after that position.
    """

    change: Change
    position: LogPosition | None = None


@message
class ForwardedOutcome:
    """``outcome`` is ``None`` if the sender does not lead or lost its leadership."""

    outcome: Outcome | None


@message
class ReadConfiguration:
    """Asks the leader for the newest accepted configuration.

    With ``position_only``, it asks for the end of the leader's log, which needs no
    proof.
    """

    position_only: bool = False


@message
class ConfigurationRead:
    """``text`` is the compressed document; ``proved`` is false if it may be stale.

    ``position`` is the end of the leader's log, if only that was asked for and the
    sender leads.
    """

    proved: bool
    version: int = 0
    text: bytes = b""
    position: LogPosition | None = None
