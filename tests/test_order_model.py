"""A model of an operator's orders that overtake each other between control hosts.

An operator gives one order at a time; one that isn't answered in time it gives up, and
sends the next one through any host. Hosts read the end of the leader's log, check that
the sender still waits, and propose; any of these steps may be held up for any time, and
the leader may change. What holds: after an order was acknowledged, no order that was
given up before it takes effect.
"""

from __future__ import annotations

from random import Random

import attrs
import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, LogPosition, Members, Snapshot
from chicoryhold.control.overtaking import is_overtaken
from chicoryhold.state.changes import Change, EndEvacuation, EndShift, EvacuateDomain
from chicoryhold.state.control_state import ControlState

DOMAINS = ("north-a", "south-a")
STEPS = 400
HELD_STEPS = (0, 0, 0, 40, 100)


@attrs.define(kw_only=True, eq=False)
class Order:
    """``domain`` is evacuated or taken back. ``position`` is what its host has read.

    Until the step ``held_until`` it waits in a host or on a link.
    """

    domain: str
    evacuates: bool
    is_waited_for: bool = True
    position: LogPosition | None = None
    may_propose: bool = False
    held_until: int = 0

    @property
    def change(self) -> Change:
        kind = EvacuateDomain if self.evacuates else EndEvacuation
        return Change(request_id="", operator="", body=encode(kind(domain=self.domain)))


class OrderModel:
    """One leader's log at a time; orders in flight between operator and leader."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        empty = Snapshot(index=0, term=0, members=Members(voters=("a",)), data=b"")
        self.log = Log(snapshot=empty)
        self.state = ControlState()
        self.term = 1
        self.in_flight: list[Order] = []
        self.waiting: dict[str, Order | None] = dict.fromkeys(DOMAINS)
        # What an acknowledged order, and those given since, let a domain be.
        self.allowed = {domain: {False} for domain in DOMAINS}
        self.refused = 0
        self.now = 0

    def step(self) -> None:
        self.now += 1
        events = [
            self.give_order, self.give_order, self.give_up, self.read_position,
            self.check_sender, self.propose, self.propose, self.change_leader,
            self.other_change, self.compact,
        ]  # fmt: skip
        weights = [6, 6, 5, 8, 8, 8, 8, 1, 3, 1]
        self.random.choices(events, weights)[0]()

    def give_order(self) -> None:
        domain = self.random.choice(DOMAINS)
        if self.waiting[domain] is None:
            order = Order(domain=domain, evacuates=self.random.random() < 0.5)
            self.waiting[domain] = order
            self.allowed[domain].add(order.evacuates)
            self.in_flight.append(order)

    def give_up(self) -> None:
        """The operator waits no more; the order stays in some host or link."""
        domain = self.random.choice(DOMAINS)
        order = self.waiting[domain]
        if order is not None:
            order.is_waited_for = False
            self.waiting[domain] = None

    def read_position(self) -> None:
        order = self._any(lambda each: not each.may_propose)
        if order is not None:
            order.position = LogPosition(term=self.term, index=self.log.last_index)
            self.hold(order)

    def check_sender(self) -> None:
        """The host looks whether its sender has left; if not, it may propose."""
        order = self._any(lambda each: each.position and not each.may_propose)
        if order is None:
            return
        if order.is_waited_for:
            order.may_propose = True
            self.hold(order)
        else:
            self.in_flight.remove(order)

    def propose(self) -> None:
        """A proposal arrives at the leader, however long it was on its way."""
        order = self._any(lambda each: each.may_propose)
        if order is None:
            return
        self.in_flight.remove(order)
        if self.is_refused(order):
            self.refused += 1
            if order.is_waited_for:  # its host tries again
                order.position, order.may_propose = None, False
                self.in_flight.append(order)
            return
        self._append(order.change)
        if order.is_waited_for:
            self.waiting[order.domain] = None
            self.allowed[order.domain] = {order.evacuates}

    def hold(self, order: Order) -> None:
        order.held_until = self.now + self.random.choice(HELD_STEPS)

    def is_refused(self, order: Order) -> bool:
        return is_overtaken(order.change, order.position, log=self.log, term=self.term)

    def change_leader(self) -> None:
        self.term += 1
        self._write(b"")

    def other_change(self) -> None:
        self._append(
            Change(request_id="", operator="", body=encode(EndShift(name="s")))
        )

    def compact(self) -> None:
        snapshot = Snapshot(
            index=self.log.last_index,
            term=self.log.last_term,
            members=Members(voters=("a",)),
            data=b"",
        )
        if self.log.last_index:
            self.log.compact(snapshot)

    def check(self) -> None:
        """What was acknowledged is in force, unless a later order may be."""
        for domain, allowed in self.allowed.items():
            assert (domain in self.state.evacuated) in allowed

    def _any(self, condition) -> Order | None:
        matching = [
            order
            for order in self.in_flight
            if condition(order) and order.held_until <= self.now
        ]
        return self.random.choice(matching) if matching else None

    def _append(self, change: Change) -> None:
        self._write(encode(change))
        self.state.apply(change)

    def _write(self, command: bytes) -> None:
        index = self.log.last_index + 1
        self.log.write([Entry(index=index, term=self.term, command=command)])


@pytest.mark.parametrize("seed", range(100))
def test_no_order_that_was_given_up_takes_effect_after_a_later_acknowledgement(seed):
    """Guards against EVAC: an order undone by an older one that was held up."""
    model = OrderModel(seed)
    for _ in range(STEPS):
        model.step()
        model.check()


def test_the_model_finds_a_leader_that_refuses_no_order():
    """Without the rule, an older order takes effect in some of the walks."""

    class WithoutRule(OrderModel):
        def is_refused(self, order: Order) -> bool:
            return False

    def breaks(seed: int) -> bool:
        model = WithoutRule(seed)
        try:
            for _ in range(STEPS):
                model.step()
                model.check()
        except AssertionError:
            return True
        return False

    assert sum(breaks(seed) for seed in range(100)) >= 3
