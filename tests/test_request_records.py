"""The outcomes that a control state keeps for resends."""

from __future__ import annotations

import pytest

from chicoryhold.state.changes import CreateOrganisation, Outcome, PutTable
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.request_records import (
    MAX_BYTES,
    MAX_TEXT_CHARACTERS,
    RequestRecords,
)
from tests.test_control_state import HEADING, change
from tests.test_start_memory import counted_memory

ROWS = 300
REFUSALS = 200
MOST_BYTES = 2_000_000


def a_table(version: int) -> str:
    rows = [f"organisation,o{version}-{n},burst,5,requests\n" for n in range(ROWS)]
    return HEADING + "".join(rows)


def refused_state() -> ControlState:
    """Return a state that has refused edits of an old table, each with a long diff."""
    state = ControlState()
    state.apply(change("first", PutTable(text=a_table(0)), based_on=0))
    for number in range(1, REFUSALS):
        text = PutTable(text=a_table(number))
        assert not state.apply(change(f"r{number}", text, based_on=0)).accepted
    return state


def test_memory_and_snapshot_do_not_grow_with_the_edits_that_were_refused():
    """Guards against CONFIG: 100,000 outcomes were kept, each with its whole diff."""
    with counted_memory() as memory:
        state = refused_state()
    assert memory.kept <= MOST_BYTES
    assert len(state.image()) <= MOST_BYTES


def test_a_resend_of_a_refused_edit_is_refused_again_with_the_start_of_the_difference():
    state = refused_state()
    resent = change("r1", PutTable(text=a_table(1)), based_on=0)
    outcome = state.apply(resent)
    assert not outcome.accepted
    assert "was changed in revision 1" in outcome.reason
    assert outcome.difference.startswith("--- current")
    assert "[cut: " in outcome.difference
    assert len(outcome.difference) < MAX_TEXT_CHARACTERS + 100


def test_the_newest_outcomes_are_kept_as_far_as_they_fit():
    records = RequestRecords()
    outcome = Outcome(accepted=True, revision=1, reason="x" * MAX_TEXT_CHARACTERS)
    for number in range(10_000):
        records.put(f"r{number}", digest=b"", outcome=outcome)
    kept = list(records.records)
    assert kept == [f"r{number}" for number in range(10_000 - len(kept), 10_000)]
    assert MAX_BYTES * 0.9 < len(kept) * MAX_TEXT_CHARACTERS < MAX_BYTES


@pytest.mark.parametrize("restart_at", [0, 3_500, 9_000])
def test_a_replica_that_began_with_a_snapshot_keeps_what_the_others_keep(restart_at):
    outcome = Outcome(accepted=True, revision=1, reason="x" * MAX_TEXT_CHARACTERS)
    whole, restarted = RequestRecords(), RequestRecords()
    for number in range(9_000):
        if number == restart_at:
            restarted.replace(whole.records)
        whole.put(f"r{number}", digest=b"", outcome=outcome)
        if number >= restart_at:
            restarted.put(f"r{number}", digest=b"", outcome=outcome)
    if restart_at == 9_000:
        restarted.replace(whole.records)
    assert list(restarted.records) == list(whole.records)


def test_a_resend_gets_its_outcome_after_a_restart():
    state = ControlState()
    accepted = state.apply(change("r1", CreateOrganisation(name="o")))
    restarted = ControlState()
    restarted.load(state.image())
    assert restarted.apply(change("r1", CreateOrganisation(name="o"))) == accepted
