"""Experiment files, which define the requests that a load run sends."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class Traffic:
    """Requests of one organisation: Poisson arrivals at ``rate`` per second.

    From ``surge_from`` to ``surge_to``, in seconds since the start, the rate is
    multiplied by ``surge``.
    """

    organisation: str
    key: str = attrs.field(default="", repr=False)
    method: str = "GET"
    path: str
    body: str = ""
    rate: float = attrs.field(validator=gt(0))
    headers: Mapping[str, str] = {}
    surge: float = attrs.field(default=1.0, validator=ge(0))
    surge_from: float = 0.0
    surge_to: float = 0.0

    def rate_at(self, second: float) -> float:
        """Return the arrival rate ``second`` seconds after the start."""
        surging = self.surge_from <= second < self.surge_to
        return self.rate * (self.surge if surging else 1.0)


@attrs.frozen(kw_only=True)
class LimitedTarget:
    """A simulated target at ``address`` that names a limit for the whole run.

    ``rate`` is in requests per second from all hosts together.
    """

    address: str
    rate: float = attrs.field(validator=ge(0))


@attrs.frozen(kw_only=True)
class CrashingRequest:
    """A request that crashes the simulated targets at ``addresses``, by its path."""

    path: str
    addresses: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Experiment:
    """A load experiment.

    The entry hosts are looked up at ``known_host``. ``scale`` is a note on the size of
    the experiment, copied into the results. All hosts must keep the limits of
    ``limited_targets`` ``limit_known_seconds`` after these were first named, and send
    no ``crashing_requests`` as long after the third crash.
    """

    seed: int
    seconds: float = attrs.field(validator=gt(0))
    known_host: str
    threads: int = attrs.field(default=64, validator=ge(1))
    scale: str = ""
    traffic: tuple[Traffic, ...]
    limited_targets: tuple[LimitedTarget, ...] = ()
    crashing_requests: tuple[CrashingRequest, ...] = ()
    limit_known_seconds: float = attrs.field(default=4.0, validator=ge(0))
