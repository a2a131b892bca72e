"""Reads by one thread while another thread changes the same object.

A hook at a fixed point of the read makes the change of the other thread.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, Members, Snapshot
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.messages import HostReport
from chicoryhold.membership.messages import ControlHost, ControlPresence
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.settings import DomainSettings
from chicoryhold.state import objects
from chicoryhold.state.changes import Outcome, PutTable
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.table import Table, parse_table
from chicoryhold.state.targets import TargetRecords
from chicoryhold.steering.lookup import Lookup
from tests.conftest import FakeClock
from tests.test_administration import FakeLeader, call_api
from tests.test_control_state import HEADING, change
from tests.test_targets_state import a_record


class HookedTime(float):
    """A time that runs ``hook`` whenever it is compared."""

    hook: Callable[[], None]

    def __ge__(self, other: float) -> bool:
        self.hook()
        return super().__ge__(other)

    def __lt__(self, other: float) -> bool:
        self.hook()
        return super().__lt__(other)

    def __sub__(self, other: float) -> HookedTime:
        difference = HookedTime(super().__sub__(other))
        difference.hook = self.hook
        return difference


class HookedClock(FakeClock):
    """A clock whose times run ``hook`` when they are compared."""

    def __init__(self, hook: Callable[[], None]) -> None:
        super().__init__()
        self._hook = hook

    def now(self) -> HookedTime:
        time = HookedTime(super().now())
        time.hook = self._hook
        return time


class Changes:
    """Makes each of ``changes`` once, when called as a hook, after :meth:`start`."""

    def __init__(self) -> None:
        self._pending: list[Callable[[], None]] = []

    def start(self, *changes: Callable[[], None]) -> None:
        self._pending = list(changes)

    def __call__(self) -> None:
        pending, self._pending = self._pending, []
        for make_change in pending:
            make_change()


def presence(name: str) -> ControlPresence:
    host = ControlHost(name=name, domain="d", region="r")
    return ControlPresence(host=host, entry_hosts=(), targets=())


def test_control_hosts_are_read_while_another_one_is_added():
    # The permit actor and the HTTP threads read them, the registry actor adds them.
    changes = Changes()
    own = ControlHost(name="own", domain="d", region="r")
    registry = HostRegistry(own=own, clock=HookedClock(changes))
    registry.merge_control_presence(presence("a"))
    registry.merge_control_presence(presence("b"))
    changes.start(lambda: registry.merge_control_presence(presence("c")))
    assert [host.name for host in registry.control_hosts] == ["own", "a", "b"]
    assert [host.name for host in registry.control_hosts] == ["own", "a", "b", "c"]


def host_report(name: str) -> HostReport:
    return HostReport(host=name, domain="d", revision=3, age=0.0)


def test_revisions_in_force_are_read_while_another_host_reports():
    # The threads of the administration API read them, the replica actor adds to them.
    changes = Changes()
    reports = InForceReports(clock=HookedClock(changes))
    reports.record([host_report("a"), host_report("b")])
    changes.start(lambda: reports.record([host_report("c")]))
    assert [domain.hosts for domain in reports.domains()] == [2]
    changes.start(lambda: reports.record([host_report("d")]))
    assert [host.host for host in reports.hosts()] == ["a", "b", "c"]
    assert [domain.hosts for domain in reports.domains()] == [4]


class HookedName(str):
    """A name that runs ``hook`` whenever a dictionary looks it up."""

    hook: Callable[[], None]

    def __hash__(self) -> int:
        self.hook()
        return super().__hash__()


def test_a_target_is_never_missing_while_its_record_is_replaced():
    # Guards against a removal that is acknowledged without effect, because the target
    # was unknown for a moment.
    records = TargetRecords()
    records.put(a_record(instance="i-1", sequence=1))
    name = HookedName("i-1")
    seen = []
    name.hook = lambda: seen.append(records.get("i-1"))
    records.put(a_record(instance=name, sequence=2))
    assert seen
    assert None not in seen
    assert records.get("i-1").sequence == 2


def test_a_state_that_is_being_loaded_has_a_revision_only_once_it_is_complete(
    monkeypatch,
):
    # Guards against an entry host that accepts callers before it knows their keys.
    loaded = ControlState()
    text = HEADING + "route,/a,service,one,\n"
    loaded.apply(change("a", PutTable(text=text), based_on=0))
    state = ControlState()
    revisions = []

    def observed_parse(text: str) -> Table:
        revisions.append(state.revision)
        return parse_table(text)

    monkeypatch.setattr(objects, "parse_table", observed_parse)
    state.load(loaded.image())
    assert revisions == [0]
    assert state.revision == 1


def table_change(request_id: str, rate: int, *, based_on: int) -> object:
    text = HEADING + f"organisation,o,rate,{rate},requests/s\n"
    return change(request_id, PutTable(text=text), based_on=based_on)


class ChangingState(ControlState):
    """A state whose table another operator changes after the first of its reads."""

    _was_changed = False

    @property
    def revision(self) -> int:
        value = super().revision
        self._change_table()
        return value

    @property
    def table_text(self) -> str:
        value = super().table_text
        self._change_table()
        return value

    def _change_table(self) -> None:
        if not self._was_changed:
            self._was_changed = True
            assert self.apply(table_change("other", 5, based_on=0)).accepted


def test_an_edit_of_a_table_that_changes_while_it_is_read_is_refused():
    # Guards against an edit that undoes another operator's change unnoticed.
    state = ChangingState()
    leader = FakeLeader(state=state, in_force=InForceReports(clock=FakeClock()))
    based_on = call_api(leader, "GET", "/v1/table").json["revision"]
    outcome: Outcome = state.apply(table_change("own", 6, based_on=based_on))
    assert not outcome.accepted


@attrs.define(kw_only=True)
class FollowedTable:
    """Stands for a follower and its state: only the table is read."""

    table: Table

    @property
    def state(self) -> FollowedTable:
        return self


class InterruptedLookup(Lookup):
    """Runs ``interrupt`` once, after the next time that an attribute is set."""

    interrupt: Callable[[], None] | None = None

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        interrupt = self.interrupt
        if interrupt is not None and name != "interrupt":
            super().__setattr__("interrupt", None)
            interrupt()


def test_lookups_during_a_change_of_the_table_do_not_keep_the_old_blocks():
    domains = {
        name: DomainSettings(region="r", hosts={}, callers={}) for name in ("a", "b")
    }
    old = Table(blocks=(("10.0.0.0/8", "a"),))
    new = Table(blocks=(("10.0.0.0/8", "b"),))
    followed = FollowedTable(table=new)
    lookup = InterruptedLookup(
        domain="a", domains=domains, view=None, follower=followed
    )

    def look_up_with_old_table() -> None:
        followed.table = old
        lookup._domain_of("10.0.0.1")
        followed.table = new

    lookup.interrupt = look_up_with_old_table
    lookup._domain_of("10.0.0.1")
    assert lookup._domain_of("10.0.0.1") == "b"


class HookedSnapshot(Snapshot):
    """A snapshot that runs ``hook`` before each read of its index."""

    def __getattribute__(self, name: str) -> object:
        if name == "index":
            object.__getattribute__(self, "hook")()
        return object.__getattribute__(self, name)


def make_hooked_log(hook: Callable[[], None]) -> Log:
    members = Members(voters=("a",))
    snapshot = HookedSnapshot(index=0, term=0, members=members, data=b"")
    object.__setattr__(snapshot, "hook", hook)
    return Log(snapshot=snapshot, entries=[Entry(index=n, term=3) for n in range(1, 5)])


def term_of_the_last_entry(*, compact_at: int) -> tuple[int | None, bool]:
    """Read it; compact the log at the given read of its snapshot's index.

    Returns the term, and whether the log was compacted meanwhile.
    """
    reads = 0
    newer = Snapshot(index=4, term=3, members=Members(voters=("a",)), data=b"")

    def hook() -> None:
        nonlocal reads
        reads += 1
        if reads == compact_at:
            log.compact(newer)

    log = make_hooked_log(hook)
    return log.term_at(4), log.snapshot is newer


def test_a_term_is_read_while_the_log_is_compacted():
    # Guards against a leader that seems to be unconfirmed during a compaction.
    reads = 0
    while True:
        reads += 1
        term, was_compacted = term_of_the_last_entry(compact_at=reads)
        if not was_compacted:
            break
        assert term == 3, f"compacted at read {reads}"
    assert reads > 1
