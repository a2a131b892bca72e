"""Coordinators for tests, and what their hosts ask of them."""

from __future__ import annotations

from chicoryhold.hosts.messages import Admit, Announcement
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import AnswerRequest
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry


def announcement(
    address="t1", instance="i1", sequence=1, slots=2, **fields
) -> Announcement:
    return Announcement(
        service=fields.pop("service", "menus"),
        address=address,
        instance=instance,
        sequence=sequence,
        slots=slots,
        connections=900,
        **fields,
    )


def create_coordinator(clock, *, limits=None, shifts=(), epoch=1) -> Coordinator:
    return Coordinator(
        epoch=epoch,
        limits=DomainLimits(
            epoch=epoch,
            domain="a",
            domains=("a",),
            limits_of=lambda _: limits or OrganisationLimits(rate=1e6, burst=1000),
            clock=clock,
        ),
        targets=TargetRegistry(clock=clock),
        shifts=ShiftLimiter(clock=clock, shifts=lambda: shifts),
        weight_of=lambda _: 1.0,
        clock=clock,
    )


def take_answers(coordinator: Coordinator) -> list:
    return [
        e.answer for e in coordinator.take_effects() if isinstance(e, AnswerRequest)
    ]


def admit(coordinator: Coordinator, ticket=1, **fields) -> list:
    request = Admit(organisation="", service="menus", patience=1.0, **fields)
    coordinator.admit(ticket, request)
    return take_answers(coordinator)
