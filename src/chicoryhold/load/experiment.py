"""Experiment files: which organisations send what, how fast, for how long."""

from __future__ import annotations

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class Traffic:
    """One organisation's requests, at ``rate`` a second with Poisson arrivals.

    Between ``surge_from`` and ``surge_to`` seconds the rate is ``surge`` times that.
    """

    organisation: str
    key: str = attrs.field(default="", repr=False)
    method: str = "GET"
    path: str
    body: str = ""
    rate: float = attrs.field(validator=gt(0))
    surge: float = attrs.field(default=1.0, validator=ge(0))
    surge_from: float = 0.0
    surge_to: float = 0.0

    def rate_at(self, second: float) -> float:
        """Return the arrival rate at a time since the start."""
        surging = self.surge_from <= second < self.surge_to
        return self.rate * (self.surge if surging else 1.0)


@attrs.frozen(kw_only=True)
class Experiment:
    """``known_host`` is asked which entry hosts to use; ``scale`` is for the reader."""

    seed: int
    seconds: float = attrs.field(validator=gt(0))
    known_host: str
    threads: int = attrs.field(default=64, validator=ge(1))
    scale: str = ""
    traffic: tuple[Traffic, ...]
