"""Settings of hosts that find each other through seeds."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import attrs

from chicoryhold.membership.messages import ControlHost

VOTERS = 5  # survives the loss of two, and a cut in halves leaves one side working


@attrs.frozen(kw_only=True)
class HostSettings:
    """What every host is told. Names on the bus are IP numbers.

    ``regions`` maps each failure domain to its region. ``seeds`` are names of
    control hosts, which may be down or gone.
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
    """How an organisation's requests are counted, over all hosts.

    In any ``window`` of seconds it may send its rate times the window and its burst;
    ``share`` of that, and ``requests`` beside it, are tolerated on top.
    """

    window: float = 5.0
    share: float = 0.0
    requests: float = 0.0


@attrs.frozen(kw_only=True)
class ControlHostSettings(HostSettings):
    """``founds`` is true only where a new installation starts with empty disks."""

    data_folder: Path
    new_installation: bool
    tolerance: RateTolerance = RateTolerance()
    snapshot_every: int = 500


@attrs.frozen(kw_only=True)
class GatewaySettings(HostSettings):
    """``callers_address`` is where callers' requests arrive, as ``ip:port``."""

    callers_address: str
