"""What hosts keep of targets' own statements, and target choice by it."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
from hypothesis import given, strategies as st

from chicoryhold.routing.selection import Choice
from chicoryhold.routing.stated_limits import RateStatement
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatement, TargetStatements
from chicoryhold.state.targets import TargetProcess, TargetState
from tests.conftest import FakeClock
from tests.statement_fakes import a_statements
from tests.test_target_choice import (
    FakePermits,
    a_chooser,
    apply,
    chosen,
    criteria,
    target,
)

LEAVING = TargetStatement(is_leaving=True)
STATES = tuple(TargetState)


def a_process(instance: str = "i-0", born_ms: int = 1_000) -> TargetProcess:
    return TargetProcess(instance=instance, born_ms=born_ms)


def test_a_statement_outlives_records_that_call_the_target_ready_or_vanish():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", "north-a", statements=statements)
    statements.record(a_process(), LEAVING)
    for records in (
        [target(0, "north-a", sequence=9), target(1, "north-a")],
        [target(1, "north-a")],
        [],
        [target(0, "north-a", state=TargetState.SILENT), target(1, "north-a")],
        [target(0, "north-a", sequence=3), target(1, "north-a")],
    ):
        apply(chooser, records)
        if records:
            assert {chosen(chooser, criteria(str(n))) for n in range(20)} == {"i-1"}


def test_a_statement_binds_the_instance_and_not_its_address():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", statements=statements)
    statements.record(a_process(), LEAVING)
    assert chooser.choose(criteria()) is None
    successor = attrs.evolve(target(0, "north-a", born_ms=2_000), instance="i-9")
    apply(chooser, [successor])
    assert chosen(chooser, criteria()) == "i-9"


def test_a_statement_does_not_bind_a_process_that_was_started_later():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", statements=statements)
    statements.record(a_process(), LEAVING)
    apply(chooser, [target(0, "north-a", born_ms=1_001)])
    assert chosen(chooser, criteria()) == "i-0"
    statements.record(a_process(born_ms=1_001), LEAVING)
    assert chooser.choose(criteria()) is None


def test_the_number_of_instances_that_are_remembered_is_bounded():
    statements = a_statements(FakeClock(), max_leaving=3)
    for number in (0, 1, 2, 0, 3):
        statements.record(a_process(f"i-{number}"), LEAVING)
    leaving = [n for n in range(4) if statements.is_leaving(a_process(f"i-{n}"))]
    assert leaving == [0, 2, 3]


def test_a_failure_that_names_no_limit_does_not_end_one():
    statements = a_statements(FakeClock())
    named = TargetStatement(limit=RateStatement(rate=2.0))
    statements.record(a_process(), named)
    statements.record(a_process(), LEAVING, is_failure=True)
    assert statements.limits.rate_of("i-0") == 2.0
    statements.record(a_process(), TargetStatement())
    assert statements.limits.rate_of("i-0") is None
    assert statements.is_leaving(a_process())


@attrs.define(kw_only=True)
class PermitsWithNews:
    """Grants every permit; ``news`` is called before the first one is granted."""

    news: Callable[[], None]
    asked: list[str] = attrs.field(factory=list)

    def take(self, instance: str, *, rate: float, timeout: float) -> bool:
        if not self.asked:
            self.news()
        self.asked.append(instance)
        return True


def a_chooser_with_limits(
    statements: TargetStatements, permits: PermitsWithNews
) -> TargetChooser:
    chooser = a_chooser(
        "north-a", "north-a", statements=statements, permits=permits
    )  # fmt: skip
    for number in (0, 1):
        limit = TargetStatement(limit=RateStatement(rate=5.0))
        statements.record(a_process(f"i-{number}"), limit)
    return chooser


def test_a_request_that_waits_for_a_permit_is_not_sent_if_the_word_comes_meanwhile():
    statements = a_statements(FakeClock())
    permits = PermitsWithNews(
        news=lambda: statements.record_leaving(a_process(preferred))
    )
    chooser = a_chooser_with_limits(statements, permits)
    preferred = chosen(a_chooser("north-a", "north-a"), criteria())
    choice = chooser.choose(criteria())
    assert permits.asked[0] == preferred
    assert choice.view.record.instance != preferred
    assert chooser.views[preferred].in_flight == 0


@pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.GONE])
def test_a_request_that_waits_for_a_permit_is_not_sent_if_the_registry_says_so(state):
    statements = a_statements(FakeClock())
    records = [target(n, "north-a") for n in (0, 1)]
    preferred = chosen(a_chooser("north-a", "north-a"), criteria())

    def news() -> None:
        apply(
            chooser,
            [
                attrs.evolve(each, state=state) if each.instance == preferred else each
                for each in records
            ],
        )

    chooser = a_chooser_with_limits(statements, PermitsWithNews(news=news))
    assert chooser.choose(criteria()).view.record.instance != preferred


def test_a_choice_made_before_the_word_came_is_given_up():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", statements=statements)
    choice = chooser.choose(criteria())
    assert chooser.holds(choice)
    statements.record_leaving(a_process())
    assert not chooser.holds(choice)
    assert chooser.views["i-0"].in_flight == 0


def test_requests_at_a_target_that_leaves_still_count_there():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", statements=statements)
    choice = chooser.choose(criteria())
    statements.record_leaving(a_process())
    chooser.record_success(choice, criteria(), seconds=0.1, load=None)
    assert chooser.views["i-0"].in_flight == 0


def test_targets_that_leave_while_the_registry_calls_them_ready_are_counted():
    statements = a_statements(FakeClock())
    chooser = a_chooser("north-a", "north-a", statements=statements)
    for number in (0, 1):
        statements.record_leaving(a_process(f"i-{number}"))
    assert (chooser.left_out_count, chooser.left_out("menu")) == (2, 2)
    apply(chooser, [target(0, "north-a", state=TargetState.DRAINING)])
    assert (chooser.left_out_count, chooser.left_out("menu")) == (0, 0)


INSTANCES = ("i-0", "i-1", "i-2")
BORN = (1_000, 2_000, 3_000)
RECORDS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(BORN), st.sampled_from(STATES)),
    max_size=4,
    unique_by=lambda each: each[0],
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("says"), st.sampled_from(INSTANCES), st.sampled_from(BORN)),
        st.tuples(st.just("copy"), RECORDS),
        st.tuples(st.just("clock"), st.floats(0, 1e6)),
    ),
    max_size=20,
)


@given(steps=STEPS)
def test_no_order_of_news_makes_a_host_forget_that_a_process_leaves(steps):
    """A copy may be old or of another history, and the target's clock may step back.

    Times of start are by that clock; the host's own never goes back.
    """
    clock = FakeClock()
    statements = a_statements(clock)
    chooser = a_chooser(clock=clock, statements=statements, permits=FakePermits())
    said: dict[str, int] = {}
    records = []
    for step in steps:
        match step:
            case ("says", instance, born_ms):
                statements.record(a_process(instance, born_ms), LEAVING)
                said[instance] = max(said.get(instance, 0), born_ms)
            case ("copy", described):
                records = [
                    target(number, "north-a", born_ms=born_ms, state=state)
                    for number, born_ms, state in described
                ]
                apply(chooser, records)
                statements.limits.keep_only({r.instance: r for r in records})
            case ("clock", seconds):
                clock.advance(seconds)
        may_get_it = {
            record.instance
            for record in records
            if record.state in (TargetState.READY, TargetState.SILENT)
            and record.born_ms > said.get(record.instance, 0)
        }
        choice = chooser.choose(criteria())
        assert isinstance(choice, Choice) == bool(may_get_it)
        if choice is not None:
            assert choice.view.record.instance in may_get_it
            chooser.release(choice)
