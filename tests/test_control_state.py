"""Tests of changes, the table, and copies of the control state."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import BatchResult, Follower
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    SnapshotNeeded,
    StateUpdate,
)
from chicoryhold.state.changes import (
    Change,
    CreateOrganisation,
    GiveKey,
    PutTable,
    WithdrawKey,
)
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.table import check_table, parse_table
from tests.conftest import FakeClock

HEADING = "scope,name,field,value,unit\n"


def change(request_id: str, body: object, based_on: int | None = None) -> Change:
    return Change(
        request_id=request_id, operator="ana", body=encode(body), based_on=based_on
    )


def test_second_of_two_operators_with_equal_revisions_is_shown_the_difference():
    state = ControlState()
    first = PutTable(text=HEADING + "organisation,o,rate,5,requests/s\n")
    second = PutTable(text=HEADING + "organisation,o,rate,6,requests/s\n")
    assert state.apply(change("a", first, based_on=0)).accepted
    outcome = state.apply(change("b", second, based_on=0))
    assert not outcome.accepted
    assert "-organisation,o,rate,5,requests/s" in outcome.difference
    assert "+organisation,o,rate,6,requests/s" in outcome.difference
    assert state.apply(change("c", second, based_on=outcome.revision)).accepted


def test_resend_gets_the_first_outcome_also_from_a_snapshot():
    state = ControlState()
    create = change("a", CreateOrganisation(name="o"))
    first = state.apply(create)
    restored = ControlState()
    restored.load(state.image())
    assert state.apply(create) == first
    assert restored.apply(create) == first
    assert restored.revision == 1
    reused = restored.apply(change("a", CreateOrganisation(name="p")))
    assert not reused.accepted


def test_withdrawn_key_is_never_valid_again():
    state = ControlState()
    state.apply(change("a", CreateOrganisation(name="o")))
    give = GiveKey(organisation="o", key_id="k", digest="d" * 64)
    state.apply(change("b", give))
    state.apply(change("c", WithdrawKey(key_id="k")))
    assert not state.apply(change("d", give)).accepted
    restored = ControlState()
    restored.load(state.image())
    assert restored.key_by_digest("d" * 64).withdrawn


def test_table_faults_name_row_column_value_and_remedy():
    text = HEADING + (
        "organisation,o,rate,many,requests/s\n"
        "organisation,o,burst,5,requests/s\n"
        "organisation,o,colour,5,\n"
        "route,menus,service,menus,\n"
        "route,/slots,access,open,\n"
        "service,s,deadline,nan,s\n"
        "service,s,deadline,4,s\n"
        "block,10.0.0.0/33,domain,a,\n"
        "organisation,o\n"
    )
    faults = [str(fault) for fault in check_table(text)]
    for start in (
        "row 2, value 'many'",
        "row 3, unit 'requests/s': write 'requests'",
        "row 4, field 'organisation colour': write one of",
        "row 5, name 'menus': start a route with /",
        "row 6, name '/slots': add a row that names the route's service",
        "row 7, value 'nan'",
        "row 8, field 'service s deadline': remove it",
        "row 9, name '10.0.0.0/33'",
        "row 10, row 'organisation,o': write 5 cells",
    ):
        assert any(fault.startswith(start) for fault in faults), (start, faults)


def test_longest_matching_prefix_of_whole_segments_determines_the_route():
    table = parse_table(
        HEADING + "route,/a,service,one,\nroute,/a/b,service,two,\n"
        "route,/a/b,access,open,\n"
    )
    assert table.route_for("/a/b/c").service == "two"
    assert table.route_for("/a/bc").service == "one"
    assert table.route_for("/ab") is None


@settings(max_examples=300)
@given(seed=st.integers(0, 2**32))
def test_copy_never_goes_back_to_an_earlier_revision_and_agrees_with_the_source(seed):
    random = Random(seed)
    clock = FakeClock()
    source = ControlState()
    feed = ChangeFeed(state=source)
    digests = {0: source.digest}
    checksums = {0: source.checksum}
    follower = Follower(clock=clock)
    pending: list = []
    for number in range(60):
        clock.advance(0.1)
        if random.random() < 0.6:
            body = CreateOrganisation(name=f"o{number}")
            if random.random() < 0.5:
                body = PutTable(
                    text=HEADING + f"organisation,o,burst,{number + 1},requests\n"
                )
            accepted = change(str(number), body, based_on=source.revision)
            source.apply(accepted)
            feed.record(accepted)
            digests[source.revision] = source.digest
            checksums[source.revision] = source.checksum
        if random.random() < 0.1:
            feed.clear()
        request = FetchChanges(
            after=follower.fetched_revision,
            digest=follower.fetched_digest if random.random() < 0.5 else None,
        )
        pending.append((clock.now(), feed.answer(request, confirmed_age=0.0)))
        random.shuffle(pending)
        previous_revision = follower.state.revision
        previous_fetched = follower.fetched_revision
        if random.random() < 0.7:
            sent_at, reply = pending.pop()
            if isinstance(reply, SnapshotNeeded):
                piece = feed.piece(FetchImage(revision=0, offset=0))
                follower.on_piece(piece, source="source")
            elif isinstance(reply, StateUpdate):
                follower.on_update(reply, sent_at=sent_at)
            else:
                follower.on_batch(reply, sent_at=sent_at)
        assert follower.state.revision >= previous_revision
        assert follower.fetched_revision >= previous_fetched
        assert follower.state.digest == digests[follower.state.revision]
        assert follower.state.checksum == checksums[follower.state.revision]


def test_copy_whose_state_has_diverged_is_detected():
    clock = FakeClock()
    follower = Follower(clock=clock)
    feeds = {}
    for name in ("x", "y"):
        state = ControlState()
        feed = ChangeFeed(state=state)
        accepted = change(name, CreateOrganisation(name=name))
        state.apply(accepted)
        feed.record(accepted)
        feeds[name] = feed
    first = feeds["x"].answer(
        FetchChanges(after=0), confirmed_age=UNCONFIRMED_AGE_SECONDS
    )
    assert follower.on_batch(first, sent_at=0) is BatchResult.APPLIED
    batch = feeds["y"].answer(FetchChanges(after=1), confirmed_age=0.0)
    assert follower.on_batch(batch, sent_at=0) is BatchResult.MISMATCH
    assert follower.confirmed_at == float("-inf")


def test_delayed_reply_does_not_make_a_copy_look_recent():
    clock = FakeClock()
    follower = Follower(clock=clock)
    feed = ChangeFeed(state=ControlState())
    sent_at = clock.now()
    reply = feed.answer(FetchChanges(after=0), confirmed_age=0.5)
    clock.advance(30)
    follower.on_batch(reply, sent_at=sent_at)
    assert follower.age == 30.5
