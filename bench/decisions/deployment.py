"""The simulated deployment: its sizes, delays and coordinators."""

from __future__ import annotations

from bench.simulation import Simulator
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry

SEEDS = (1, 2, 3)
HOST_COUNT = 5
TARGET_COUNT = 16
SLOTS_PER_TARGET = 5
MEDIAN_SERVICE_SECONDS = 0.02
# The mean of lognormvariate(0, 0.5) is exp(0.5**2 / 2) = 1.1331.
MEAN_SERVICE_SECONDS = MEDIAN_SERVICE_SECONDS * 1.1331
# The one-way delay between processes of a region. Only one_way_delay(), for messages
# between domains, takes it as a round trip.
INTRA_REGION_DELAY_SECONDS = 0.0005
INTER_REGION_ROUND_TRIP_SECONDS = 0.055
ADMISSION_TIMEOUT_SECONDS = 2.0
DOMAINS = ("r1a", "r1b", "r2a", "r2b", "r3a", "r3b")
UNLIMITED = OrganisationLimits(rate=1e9, burst=1_000_000)


def create_coordinator(
    simulator: Simulator, *, limits: OrganisationLimits = UNLIMITED, domain: str = "d"
) -> Coordinator:
    return Coordinator(
        epoch=1,
        limits=DomainLimits(
            domain=domain,
            domains=DOMAINS if domain in DOMAINS else (domain,),
            limits_of=lambda _: limits,
            clock=simulator,
            epoch=1,
        ),
        targets=TargetRegistry(clock=simulator),
        shifts=ShiftLimiter(clock=simulator, shifts=lambda: ()),
        weight_of=lambda _: 1.0,
        clock=simulator,
    )


def one_way_delay(source: str, destination: str) -> float:
    """Return the delay between two domains; their first two letters name the region."""
    return (
        INTRA_REGION_DELAY_SECONDS / 2
        if source[:2] == destination[:2]
        else INTER_REGION_ROUND_TRIP_SECONDS / 2
    )
