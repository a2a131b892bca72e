"""Hypothesis settings and fakes that the unit tests share."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("fixed")


class FakeClock:
    """A clock that moves only when :meth:`advance` is called."""

    def __init__(self, start: float = 100.0) -> None:
        self.time = start

    def now(self) -> float:
        return self.time

    def advance(self, seconds: float) -> None:
        self.time += seconds


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


# The adapter for the users' platform is a top-level folder outside the package.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
