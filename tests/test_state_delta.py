"""Differences between revisions: copies that apply them agree with the source."""

from __future__ import annotations

import zlib
from random import Random

import attrs
from hypothesis import given, settings, strategies as st

from chicoryhold.codec import decode, encode
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import BatchResult, Follower
from chicoryhold.control.messages import FetchChanges, SnapshotNeeded, StateUpdate
from chicoryhold.routing.configuration import (
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
    WeightedService,
)
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.state import object_index
from chicoryhold.state.changes import (
    CreateOrganisation,
    EndEvacuation,
    EndShift,
    EndStop,
    EvacuateDomain,
    GiveKey,
    PlanStop,
    PutConfiguration,
    PutTable,
    RecordTargets,
    StartShift,
    WithdrawKey,
)
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.records import StateImage
from chicoryhold.state.targets import TargetRecord, TargetState
from tests.conftest import FakeClock
from tests.follower_trial import configuration
from tests.test_control_state import HEADING, change

HOSTS = ("a.example", "A.example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/")


def random_configuration(random: Random, version: int) -> Configuration:
    """Return one in which routes and organisations may have equal names."""
    return Configuration(
        version=version,
        routes=tuple(
            RouteRule(
                name=f"r{number}",
                host=random.choice(HOSTS),
                prefix=random.choice(PREFIXES),
                parts=(WeightedService(service=random.choice("st"), weight=1.0),),
            )
            for number in range(random.randrange(6))
        ),
        services=tuple(
            ServiceRule(name=name, health_path=random.choice(("/h", "/i")))
            for name in random.sample("stu", random.randrange(4))
        ),
        organisations=tuple(
            OrganisationRule(name=random.choice("op"), keys=(f"key-{number}",))
            for number in range(random.randrange(3))
        ),
    )


def random_body(random: Random, number: int) -> object:
    name = random.choice("abc")
    record = TargetRecord(
        instance=f"i{random.randrange(6)}",
        born_ms=random.randrange(3),
        sequence=number,
        address=f"address-{random.randrange(4)}",
        service="s",
        domain="d",
        slots=6,
        state=random.choice(list(TargetState)),
    )
    shift = StartShift(
        name=name, service="s", source="d", destination="e", share=0.5, cap=1.0
    )
    return random.choice(
        [
            CreateOrganisation(name=name),
            GiveKey(organisation=name, key_id=f"k{number}", digest=f"digest-{number}"),
            WithdrawKey(key_id=f"k{random.randrange(number + 1)}"),
            PutTable(text=HEADING + f"organisation,o,burst,{number + 1},requests\n"),
            PutTable(text=HEADING),
            shift,
            EndShift(name=name),
            PlanStop(host=name),
            EndStop(host=name),
            EvacuateDomain(domain=name),
            EndEvacuation(domain=name),
            RecordTargets(records=(record,)),
            PutConfiguration(
                configuration=random_configuration(random, number), text=b""
            ),
        ]
    )


def decided_by(state: ControlState) -> object:
    """Return all that entry hosts decide by, in an order that doesn't matter."""
    image: StateImage = decode(state.image(for_replica=False))
    routes = RouteIndex(image.configuration)
    return (
        attrs.evolve(image, configuration=Configuration(version=0), targets=()),
        sorted(image.targets, key=lambda record: record.instance),
        [routes.route(host=host, path=p + "z") for host in HOSTS for p in PREFIXES],
        sorted(image.configuration.services, key=lambda rule: rule.name),
        sorted(image.configuration.organisations, key=lambda rule: rule.keys),
        image.configuration.version,
    )


class Source:
    """A control state with its feed, and with what it decided at each revision."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.feed = ChangeFeed(state=self.state)
        self.decided = {0: decided_by(self.state)}

    def accept(self, body: object) -> None:
        accepted = change("", body, based_on=self.state.revision)
        before = self.state.revision
        self.state.apply(accepted)
        if self.state.revision > before:
            self.feed.record(accepted)
            self.decided[self.state.revision] = decided_by(self.state)


def fetch(follower: Follower) -> FetchChanges:
    return FetchChanges(after=follower.fetched_revision, digest=follower.fetched_digest)


def load_image(follower: Follower, feed: ChangeFeed) -> None:
    while True:
        request = follower.image_request("source")
        if follower.on_piece(feed.piece(request), source="source"):
            return


@settings(max_examples=300)
@given(seed=st.integers(0, 2**32))
def test_copies_agree_with_the_source_whatever_the_order_in_which_replies_arrive(seed):
    random = Random(seed)
    source = Source()
    relay, copy = Follower(clock=FakeClock()), Follower(clock=FakeClock())
    on_the_way: list[tuple[Follower, StateUpdate]] = []
    for number in range(60):
        source.accept(random_body(random, number))
        for follower, feed in ((relay, source.feed), (copy, relay.feed)):
            if random.random() < 0.3:
                if random.random() < 0.2:
                    feed = source.feed
                reply = feed.answer(fetch(follower), confirmed_age=0.0)
                if isinstance(reply, SnapshotNeeded):
                    if reply.revision >= follower.fetched_revision:
                        load_image(follower, feed)
                else:
                    on_the_way.append((follower, reply))
        random.shuffle(on_the_way)
        if on_the_way and random.random() < 0.5:
            follower, reply = on_the_way.pop()
            result = follower.on_update(reply, sent_at=0.0)
            assert result is not BatchResult.MISMATCH
        for follower in (relay, copy):
            revision = follower.state.revision
            assert decided_by(follower.state) == source.decided[revision]


def test_a_copy_from_another_history_is_sent_an_image():
    feeds = {}
    for name in ("x", "y"):
        source = Source()
        source.accept(CreateOrganisation(name=name))
        feeds[name] = source.feed
    follower = Follower(clock=FakeClock())
    follower.on_update(
        feeds["x"].answer(fetch(follower), confirmed_age=0.0), sent_at=0.0
    )
    reply = feeds["y"].answer(fetch(follower), confirmed_age=0.0)
    assert isinstance(reply, SnapshotNeeded)


def test_a_copy_notices_that_a_difference_does_not_lead_to_the_state_of_its_source():
    source = Source()
    source.accept(CreateOrganisation(name="x"))
    follower = Follower(clock=FakeClock())
    reply = source.feed.answer(fetch(follower), confirmed_age=0.0)
    delta = attrs.evolve(decode(zlib.decompress(reply.data)), organisations=("y",))
    wrong = attrs.evolve(reply, data=zlib.compress(encode(delta)))
    assert follower.on_update(wrong, sent_at=0.0) is BatchResult.MISMATCH
    assert follower.state.revision == 0


def test_a_copy_does_not_end_its_process_because_a_difference_is_unreadable():
    source = Source()
    source.accept(CreateOrganisation(name="x"))
    follower = Follower(clock=FakeClock())
    reply = source.feed.answer(fetch(follower), confirmed_age=0.0)
    for data in (b"", b"garbage", zlib.compress(b"garbage"), reply.data[:-3]):
        unreadable = attrs.evolve(reply, data=data)
        assert follower.on_update(unreadable, sent_at=0.0) is BatchResult.MISMATCH
    assert follower.fetched_revision == 0


def test_seventy_versions_of_many_routes_cost_no_more_than_the_routes_that_differ():
    source = Source()
    first = configuration(1, routes=1_400)
    source.accept(PutConfiguration(configuration=first, text=b""))
    follower = Follower(clock=FakeClock())
    load_image(follower, source.feed)
    for version in range(2, 72):
        newer = configuration(version, routes=1_400)
        source.accept(PutConfiguration(configuration=newer, text=b""))
    reply = source.feed.answer(fetch(follower), confirmed_age=0.0)
    assert len(encode(reply)) < 5_000
    follower.on_update(reply, sent_at=0.0)
    assert decided_by(follower.state) == source.decided[source.state.revision]


def test_a_copy_older_than_all_removals_that_are_known_is_sent_an_image(monkeypatch):
    monkeypatch.setattr(object_index, "MAX_REMOVED_OBJECTS", 5)
    source = Source()
    for number in range(10):
        source.accept(EvacuateDomain(domain=f"d{number}"))
    many = configuration(1, routes=20)
    source.accept(PutConfiguration(configuration=many, text=b""))
    follower = Follower(clock=FakeClock())
    old = fetch(follower)
    none = Configuration(version=2)
    source.accept(PutConfiguration(configuration=none, text=b""))
    assert isinstance(source.feed.answer(old, confirmed_age=0.0), SnapshotNeeded)
