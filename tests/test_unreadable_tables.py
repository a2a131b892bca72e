"""A table that is no CSV."""

from __future__ import annotations

import pytest

from chicoryhold.state.changes import (
    CreateOrganisation,
    PutTable,
)
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.table import check_table
from tests.test_control_state import HEADING, change

LONG_CELL = "x" * 200_000
UNREADABLE_TABLES = [
    "a\rb",
    HEADING + "service,s,deadline,2\r3,s\n",
    HEADING + f"service,{LONG_CELL},deadline,2,s\n",
]


@pytest.mark.parametrize("text", UNREADABLE_TABLES, ids=["heading", "cell", "long"])
def test_a_table_that_is_no_csv_is_refused_and_leaves_the_state_as_it_was(text):
    state = ControlState()
    outcome = state.apply(change("a", PutTable(text=text), based_on=0))
    assert not outcome.accepted
    assert "write CSV" in outcome.reason
    assert (state.revision, state.table_text) == (0, ControlState().table_text)
    assert [fault.column for fault in check_table(text)] == ["row"]
    assert state.apply(change("b", CreateOrganisation(name="o"))).accepted
