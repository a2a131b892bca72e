"""What a source sends to copies that are behind, in bytes and in messages."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from chicoryhold.codec import encode
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.messages import (
    ChangeBatch,
    FetchChanges,
    FetchImage,
    ImagePiece,
    SnapshotNeeded,
    StateUpdate,
)
from chicoryhold.routing.configuration import Configuration, OrganisationRule
from chicoryhold.state.changes import CreateOrganisation, PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

ORGANISATIONS = 80
KEY_CHARACTERS = 20
CONFIGURATIONS = 40
# A link of 1.8 Mbit/s carries this in the 0.9 s after which an entry host gives up.
LINK_BYTES_PER_FETCH = 200_000
OVERHEAD_BYTES = 1_000


class Source:
    """A control state with its feed."""

    def __init__(self) -> None:
        self._random = Random(7)
        self._version = 0
        self.state = ControlState()
        self.feed = ChangeFeed(state=self.state)

    def accept(self, body: object) -> None:
        accepted = change(f"request-{self.state.revision}", body)
        assert self.state.apply(accepted).accepted
        self.feed.record(accepted)

    def put_configuration(self, *, organisations: int = ORGANISATIONS) -> None:
        """Accept a new version with that many organisations."""
        self._version += 1
        rules = tuple(
            OrganisationRule(
                name=f"organisation-{number}",
                keys=(self._random.randbytes(KEY_CHARACTERS // 2).hex(),),
            )
            for number in range(organisations)
        )
        configuration = Configuration(version=self._version, organisations=rules)
        text = encode(configuration)
        self.accept(PutConfiguration(configuration=configuration, text=text))

    def create_organisation(self) -> None:
        self.accept(CreateOrganisation(name=f"o{self.state.revision}"))


class Copy:
    """A copy that fetches as a host of this build does, or of an older one."""

    def __init__(self, *, is_older_build: bool) -> None:
        self.follower = Follower(clock=FakeClock())
        self._is_older_build = is_older_build

    def fetch(self) -> FetchChanges:
        digest = None if self._is_older_build else self.follower.fetched_digest
        return FetchChanges(after=self.follower.fetched_revision, digest=digest)

    def image(self) -> FetchImage:
        request = self.follower.image_request("source")
        return attrs.evolve(request, compressed=not self._is_older_build)

    def next_request(self, reply) -> FetchChanges | FetchImage:
        """Take ``reply`` and return what to ask next."""
        match reply:
            case SnapshotNeeded():
                return self.image()
            case ChangeBatch():
                self.follower.on_batch(reply, sent_at=0.0)
            case StateUpdate():
                self.follower.on_update(reply, sent_at=0.0)
            case ImagePiece():
                if not self.follower.on_piece(reply, source="source"):
                    return self.image()
        return self.fetch()


@pytest.fixture(params=[False, True], ids=["this build", "older build"])
def copy(request) -> Copy:
    return Copy(is_older_build=request.param)


def replies_until_confirmed(
    source: Source, copy: Copy, *, max_replies: int, between=lambda: None
) -> list[int]:
    """Return the bytes of each reply until the copy has caught up."""
    sizes: list[int] = []
    request = copy.fetch()
    while copy.follower.confirmed_at == float("-inf"):
        assert len(sizes) < max_replies, "the copy does not catch up"
        if isinstance(request, FetchChanges):
            reply = source.feed.answer(request, confirmed_age=0.0)
        else:
            reply = source.feed.piece(request)
        sizes.append(len(encode(reply)))
        between()
        request = copy.next_request(reply)
    return sizes


def test_no_reply_is_too_large_for_a_slow_link_to_carry_before_the_fetch_times_out(
    copy,
):
    source = Source()
    for _ in range(CONFIGURATIONS):
        source.put_configuration()
    sizes = replies_until_confirmed(source, copy, max_replies=200)
    # Four fetches of other hosts may share the link.
    assert max(sizes) <= LINK_BYTES_PER_FETCH / 4


def test_restarted_host_does_not_fetch_configurations_that_were_superseded(copy):
    source = Source()
    for _ in range(CONFIGURATIONS):
        source.put_configuration()
    image_bytes = len(source.state.image())
    sizes = replies_until_confirmed(source, copy, max_replies=200)
    assert sum(sizes) <= image_bytes + OVERHEAD_BYTES


def test_copy_catches_up_while_other_copies_start_and_the_state_changes(copy):
    source = Source()
    for _ in range(15_000):
        source.create_organisation()
    for _ in range(CONFIGURATIONS):
        source.put_configuration()

    def another_host_starts() -> None:
        source.create_organisation()
        source.feed.piece(FetchImage(revision=0, offset=0))

    replies_until_confirmed(
        source,
        copy,
        max_replies=60,
        between=another_host_starts,
    )


def test_single_change_that_is_too_large_for_a_reply_is_sent_as_an_image_in_pieces(
    copy,
):
    source = Source()
    for _ in range(30_000):
        source.create_organisation()
    source.put_configuration(organisations=4_000)
    sizes = replies_until_confirmed(source, copy, max_replies=200)
    assert max(sizes) <= LINK_BYTES_PER_FETCH / 4
    source.put_configuration(organisations=4_000)
    reply = source.feed.answer(copy.fetch(), confirmed_age=0.0)
    assert isinstance(reply, SnapshotNeeded)


def test_copy_that_is_a_few_changes_behind_is_sent_just_these():
    source = Source()
    source.put_configuration()
    for _ in range(3):
        source.create_organisation()
    reply = source.feed.answer(FetchChanges(after=1), confirmed_age=0.0)
    assert len(reply.changes) == 3
