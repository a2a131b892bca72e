"""Settings and small fakes that the tests of the decision classes share."""

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
    """A clock that moves only when told."""

    def __init__(self, start: float = 100.0) -> None:
        self.time = start

    def now(self) -> float:
        return self.time

    def advance(self, seconds: float) -> None:
        self.time += seconds


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


# The adapter of the users' platform is a folder of its own beside the package.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
