"""Records of which images of the control state consist."""

from __future__ import annotations

from chicoryhold.codec import message
from chicoryhold.routing.configuration import Configuration
from chicoryhold.state.changes import Outcome, StartShift
from chicoryhold.state.targets import TargetRecord

EMPTY_CONFIGURATION = Configuration(version=0)


@message
class KeyRecord:
    """A key of an organisation; ``withdrawn`` never becomes false again."""

    key_id: str
    organisation: str
    withdrawn: bool = False


@message
class RequestRecord:
    """The outcome for a request id.

    ``digest`` is the digest of the change's body. It distinguishes a resend from a
    reuse of the id for another change.
    """

    digest: bytes
    outcome: Outcome


@message
class StateImage:
    """The complete control state, as stored in snapshots."""

    revision: int
    digest: bytes
    table: str
    table_revision: int
    organisations: tuple[str, ...]
    keys: dict[str, KeyRecord]
    shifts: dict[str, StartShift]
    stops: tuple[str, ...]
    requests: dict[str, RequestRecord]
    configuration: Configuration = EMPTY_CONFIGURATION
    configuration_text: bytes = b""
    targets: tuple[TargetRecord, ...] = ()
    evacuated: tuple[str, ...] = ()
