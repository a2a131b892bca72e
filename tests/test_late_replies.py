"""A host whose replies are late, large or held up still puts changes in force."""

from __future__ import annotations

import pytest

from chicoryhold.gateway.currency import MARGIN_SECONDS
from tests.follower_trial import Link, Trial

APPLY_SECONDS = 2.5  # the users' bound from an acknowledgement to its use everywhere
SLOW_LINK_BYTES_PER_SECOND = 225_000  # 1.8 Mbit/s, shared with callers
SETTLE_SECONDS = 8.0
SLACK_SECONDS = 0.3  # for threads that are late, and sources that are older


@pytest.mark.parametrize("delay", [0.1, 0.4, 0.7, 0.88, 0.95, 1.2, 2.0])
def test_changes_are_not_in_force_for_seconds_because_replies_come_late(delay):
    trial = Trial(link=Link(delay=delay))
    trial.run(SETTLE_SECONDS)
    assert trial.storm(67, gap=0.3) <= APPLY_SECONDS
    trial.run(APPLY_SECONDS)
    assert trial.follower.state.configuration.version == trial.version


@pytest.mark.parametrize("routes", [600, 1_400])
def test_a_storm_of_large_configurations_does_not_outpace_a_slow_link(routes):
    link = Link(delay=0.12, bytes_per_second=SLOW_LINK_BYTES_PER_SECOND / 2)
    trial = Trial(link=link, routes=routes)
    trial.accept()
    trial.run(SETTLE_SECONDS)
    assert trial.storm(40, gap=0.12) <= APPLY_SECONDS


@pytest.mark.parametrize("phase", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5])
def test_a_source_that_dies_does_not_make_a_copy_as_old_as_the_bound(phase):
    trial = Trial(link=Link(delay=0.12))
    trial.run(5.0 + phase)
    trial.silent.add(trial.asked[-1])
    assert trial.oldest_age(5.0) < APPLY_SECONDS - MARGIN_SECONDS - SLACK_SECONDS


def test_a_source_that_died_is_not_asked_for_in_a_loop():
    trial = Trial(link=Link(delay=0.001))
    trial.run(5.0)
    trial.silent.add(trial.asked[-1])
    trial.asked.clear()
    trial.run(5.0)
    assert len(trial.asked) < 30


def test_a_paused_host_does_not_avoid_the_sources_that_replied_meanwhile():
    trial = Trial(link=Link(delay=0.05), pause=(5.0, 8.0))
    trial.run(8.0)
    trial.accept()
    assert trial.run(2.0) <= 0.5


def test_a_host_that_missed_a_storm_while_it_was_paused_catches_up_in_one_reply():
    link = Link(delay=0.12, bytes_per_second=SLOW_LINK_BYTES_PER_SECOND / 2)
    trial = Trial(link=link, routes=1_400, pause=(8.0, 17.0))
    trial.accept()
    trial.run(8.0)
    received = trial.received_bytes
    trial.storm(70, gap=0.12)
    trial.run(17.0 - trial.elapsed)
    trial.run(1.0)
    assert trial.lag == 0.0
    assert trial.received_bytes - received < 100_000
