"""What the feed of a control host keeps for copies that are behind."""

from __future__ import annotations

import gc
import tracemalloc
from random import Random

import attrs
import pytest

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.messages import FetchChanges, FetchImage
from chicoryhold.state.changes import PutConfiguration, PutTable
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.follower_trial import configuration
from tests.test_control_state import HEADING, change
from tests.test_start_memory import counted_memory

CHANGES = 120
MOST_BYTES = 2_000_000


def table(random: Random, *, characters: int) -> PutTable:
    """Return a table that can hardly be compressed to less than half."""
    text = HEADING
    while len(text) < characters:
        text += f"organisation,{random.randbytes(500).hex()},burst,5,requests\n"
    return PutTable(text=text)


def accept(state: ControlState, feed: ChangeFeed, body: object) -> None:
    accepted = change(str(state.revision), body, based_on=state.revision)
    assert state.apply(accepted).accepted
    feed.record(accepted)


def test_memory_does_not_grow_with_the_changes_that_a_state_has_had():
    """Guards against CONFIG: 2,000 changes were kept whatever their length."""
    state = ControlState()
    feed = ChangeFeed(state=state)
    random = Random(1)
    with counted_memory() as memory:
        for _ in range(CHANGES):
            accept(state, feed, table(random, characters=30_000))
    assert memory.kept <= MOST_BYTES


@pytest.mark.parametrize("characters", [50_000, 100_000])
def test_memory_does_not_grow_with_the_copies_that_are_behind(characters):
    """Each copy asked for another difference, and all were kept until the next."""
    state = ControlState()
    feed = ChangeFeed(state=state)
    random = Random(1)
    digests = [state.digest]
    for _ in range(CHANGES):
        accept(state, feed, table(random, characters=characters))
        digests.append(state.digest)
    with counted_memory() as memory:
        for after, digest in enumerate(digests[:-1]):
            feed.answer(FetchChanges(after=after, digest=digest), confirmed_age=0.0)
    assert memory.kept <= MOST_BYTES


def test_images_of_a_long_state_are_kept_compressed():
    """Two images that some copy may still fetch took twice the state uncompressed."""
    state = ControlState()
    feed = ChangeFeed(state=state)
    with counted_memory():
        for version in (1, 2):
            body = PutConfiguration(
                configuration=configuration(version, routes=5_000), text=b""
            )
            accept(state, feed, body)
            before = bytes_in_use()
            feed.piece(FetchImage(revision=0, offset=0, compressed=True))
            plain_size = len(state.image(for_replica=False))
            assert bytes_in_use() - before <= 0.5 * plain_size


def bytes_in_use() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def test_a_copy_that_returns_to_a_long_state_holds_a_few_times_its_size():
    """The copy before serves until the new one is whole, and both were decoded."""
    state = ControlState()
    feed = ChangeFeed(state=state)
    for version in (1, 2):
        body = PutConfiguration(
            configuration=configuration(version, routes=2_820), text=b""
        )
        accept(state, feed, body)
    follower = Follower(clock=FakeClock())
    load_image(follower, feed)
    with counted_memory() as memory:
        load_image(follower, feed)
    assert memory.peak <= 10 * len(state.image(for_replica=False))


def load_image(follower: Follower, feed: ChangeFeed) -> None:
    request = attrs.evolve(follower.image_request("source"), at_least=0)
    while not follower.on_piece(feed.piece(request), source="source"):
        request = attrs.evolve(follower.image_request("source"), at_least=0)
