"""An entry host that starts while changes follow that are longer than a reply."""

from __future__ import annotations

import attrs
import pytest

from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.follower import MAX_IMAGE_AGE_SECONDS, Follower
from chicoryhold.control.messages import FetchChanges, FetchImage, SnapshotNeeded
from tests.conftest import FakeClock
from tests.test_feed import Source

ORGANISATIONS = 4_000
ROUND_TRIP_SECONDS = 0.02
COPY_AGE_SECONDS = 0.25  # of the source's own copy
FETCHES = 12


@attrs.define(kw_only=True)
class Start:
    """A starting host and its source, which is changed behind each image."""

    clock: FakeClock
    source: Source
    follower: Follower
    copy_age: float = COPY_AGE_SECONDS

    def fetch(self) -> None:
        """Fetch the next thing that the copy lacks."""
        sent_at = self.clock.now()
        self.clock.advance(ROUND_TRIP_SECONDS)
        request = FetchChanges(
            after=self.follower.fetched_revision, digest=self.follower.fetched_digest
        )
        reply = self.source.feed.answer(request, confirmed_age=self.copy_age)
        if isinstance(reply, SnapshotNeeded):
            self.fetch_image()
        else:
            self.follower.on_update(reply, sent_at=sent_at)

    def fetch_image(self, *, before_last_piece: float = 0.0) -> None:
        """Fetch an image; the source changes before its last piece."""
        is_loaded = False
        while not is_loaded:
            sent_at = self.clock.now()
            self.clock.advance(ROUND_TRIP_SECONDS)
            now = self.clock.now()
            request = self.follower.image_request("source")
            piece = self.source.feed.piece(
                request, confirmed_at=now - self.copy_age, now=now
            )
            if piece.offset + len(piece.data) == piece.total:
                self.clock.advance(before_last_piece)
                self.source.put_configuration(organisations=ORGANISATIONS)
            is_loaded = self.follower.on_piece(piece, source="source", sent_at=sent_at)


@pytest.fixture
def start() -> Start:
    clock = FakeClock()
    clock.advance(100.0)
    source = Source()
    source.put_configuration(organisations=ORGANISATIONS)
    return Start(clock=clock, source=source, follower=Follower(clock=clock))


def test_a_host_serves_though_no_reply_holds_what_changed_while_it_fetched(start):
    ages = []
    for _ in range(FETCHES):
        start.fetch()
        ages.append(start.follower.age)
    assert start.follower.state.configuration.version > 1
    assert max(ages) <= MAX_IMAGE_AGE_SECONDS


def test_an_image_never_looks_newer_than_it_is(start):
    taken_at = start.clock.now()
    start.fetch_image(before_last_piece=1.0)
    assert start.follower.state.configuration.version == 1
    assert start.follower.confirmed_at <= taken_at + ROUND_TRIP_SECONDS


@pytest.mark.parametrize("copy_age", [MAX_IMAGE_AGE_SECONDS, UNCONFIRMED_AGE_SECONDS])
def test_an_image_that_was_the_newest_long_ago_is_not_put_in_force(start, copy_age):
    start.copy_age = copy_age
    start.fetch_image()
    assert start.follower.fetched_revision > 0
    assert start.follower.state.revision == 0


def test_an_image_that_is_kept_since_a_change_is_as_old_as_that(start):
    now = start.clock.now()
    first = FetchImage(revision=0, offset=0, compressed=True)
    start.source.feed.piece(first, confirmed_at=now, now=now)
    start.source.create_organisation()
    piece = start.source.feed.piece(first, confirmed_at=now + 60, now=now + 60)
    assert piece.revision == start.source.state.revision - 1
    assert piece.confirmed_age == 60


def test_an_image_of_an_unchanged_state_is_as_new_as_its_source(start):
    now = start.clock.now()
    first = FetchImage(revision=0, offset=0, compressed=True)
    start.source.feed.piece(first, confirmed_at=now, now=now)
    piece = start.source.feed.piece(first, confirmed_at=now + 59, now=now + 60)
    assert piece.confirmed_age == 1
