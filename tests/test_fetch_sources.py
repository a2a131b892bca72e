"""From which control hosts an entry host fetches."""

from __future__ import annotations

from types import SimpleNamespace

from chicoryhold.membership.presence_actor import ControlHostList
from chicoryhold.programs.gateway import fetch_sources
from tests.conftest import FakeClock

SEEDS = ("10.1.0.1", "10.2.0.1")


def sources_at(revision: int) -> tuple[str, ...]:
    """Return the sources of a host to which no control host has replied lately."""
    control_hosts = ControlHostList(
        seeds=lambda: SEEDS, domain="d", region="r", clock=FakeClock()
    )
    follower = SimpleNamespace(state=SimpleNamespace(revision=revision))
    return fetch_sources(control_hosts, follower)


def test_a_host_that_was_paused_fetches_before_it_knows_which_control_hosts_reply():
    assert sources_at(7) == SEEDS


def test_a_host_that_has_just_started_sends_no_fetch_before_there_is_a_connection():
    assert sources_at(0) == ()
