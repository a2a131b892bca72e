"""Keeps an order from taking effect after a later one on the same matter.

An order may reach the leader long after its sender gave it up: it waited in a host that
was paused, in a link that was cut, or in another control host. By then the sender may
have had another order accepted that this one would undo.

So a control host first asks the leader for the end of its log, then checks that the
sender still waits, and proposes the order with that position. Whatever the sender sends
after it gave up is appended after the position. The leader refuses an order if its log
has, after the position, another one on the same matter, or if it can't know.
"""

from __future__ import annotations

from chicoryhold.codec import decode
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import LogPosition
from chicoryhold.state.changes import (
    Change,
    EndEvacuation,
    EndShift,
    EndStop,
    EvacuateDomain,
    PlanStop,
    StartShift,
)


def is_overtaken(change: Change, position: LogPosition, *, log: Log, term: int) -> bool:
    """Return whether a later order may be in the leader's log after ``position``.

    ``term`` is that in which this replica leads. The log of one leader in one term only
    grows, so a position of the same term is of the same log.
    """
    if position.term != term or log.first_index > position.index + 1:
        return True
    matter = _matter_of(change)
    if matter is None:
        return False
    later = log.slice(position.index + 1, limit=log.last_index - position.index)
    return any(
        _matter_of(decode(entry.command)) == matter for entry in later if entry.command
    )


def _matter_of(change: Change) -> tuple[str, str] | None:
    """Return what an order is about; ``None`` for a change that is ordered itself."""
    match decode(change.body):
        case EvacuateDomain(domain=domain) | EndEvacuation(domain=domain):
            return ("evacuation", domain)
        case StartShift(name=name) | EndShift(name=name):
            return ("shift", name)
        case PlanStop(host=host) | EndStop(host=host):
            return ("stop", host)
    return None
