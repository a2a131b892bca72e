"""Settings of hosts that discover each other from seeds."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import attrs

from chicoryhold.gateway.currency import DEFAULT_APPLY_SECONDS
from chicoryhold.membership.messages import ControlHost


@attrs.frozen(kw_only=True)
class HostSettings:
    """Settings that all hosts have in common. A host's name is its IP address.

    ``regions`` maps each failure domain to its region. ``seeds`` are names of
    control hosts, some of which may be down or removed.
    """

    name: str
    domain: str
    region: str
    regions: Mapping[str, str]
    seeds: tuple[str, ...]
    bus_port: int
    metrics_port: int
    transport_encrypted: bool = True
    log_level: str = "INFO"

    @property
    def bus_address(self) -> str:
        return f"{self.name}:{self.bus_port}"

    @property
    def metrics_address(self) -> str:
        return f"{self.name}:{self.metrics_port}"

    @property
    def control_host(self) -> ControlHost:
        return ControlHost(name=self.name, domain=self.domain, region=self.region)


@attrs.frozen(kw_only=True)
class RateTolerance:
    """How far an organisation may exceed its rate limit, summed over all hosts.

    In any ``window`` seconds an organisation may send its rate times the window, plus
    its burst. On top of that, a ``share`` of this number and ``requests`` further
    requests are tolerated.
    """

    window: float = 5.0
    share: float = 0.0
    requests: float = 0.0


@attrs.frozen(kw_only=True)
class ControlHostSettings(HostSettings):
    """Settings of a control host.

    ``new_installation`` is true only where an installation starts with empty disks.
    Up to ``tolerated_losses`` control hosts may be lost at once. ``catch_up_seconds``
    after a loss, the group has to bear the next one.
    """

    data_folder: Path
    new_installation: bool
    tolerated_losses: int = 2
    catch_up_seconds: float = 4.0
    tolerance: RateTolerance = RateTolerance()
    snapshot_every: int = 500


@attrs.frozen(kw_only=True)
class GatewaySettings(HostSettings):
    """Settings of an entry host.

    ``callers_address`` is the listening address for callers, as ``ip:port``. An
    accepted change has to be in force within ``apply_seconds``.
    """

    callers_address: str
    apply_seconds: float = DEFAULT_APPLY_SECONDS
